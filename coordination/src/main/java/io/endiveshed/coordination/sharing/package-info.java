/** Sharing of what the entries of a failure domain read from the store, without an election or a lease. */
package io.endiveshed.coordination.sharing;
