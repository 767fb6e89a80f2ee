/** Complete deployment in one process, for development and tests only. */
package io.endiveshed.local;
