/** The local command: a whole deployment in one process; development only. */
package io.endiveshed.local;
