package io.endiveshed.coordination.lease;

/** Reasons for which a process does not hold a lease. */
public enum LeaseError {
    /** Another process holds the lease; try again after the renewal interval. */
    HELD_BY_OTHER,
    /** The store did not respond or its reply was lost; try again with back-off. */
    STORE_UNAVAILABLE,
    /** The object is not a lease record; an operator must remove it. */
    MALFORMED
}
