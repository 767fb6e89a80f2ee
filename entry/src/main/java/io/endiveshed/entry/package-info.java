/** Entry daemon. */
package io.endiveshed.entry;
