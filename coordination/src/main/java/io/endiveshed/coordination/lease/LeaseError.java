package io.endiveshed.coordination.lease;

/** Reasons for which a lease is not held. */
public enum LeaseError {
    /** Another holder has it; ask again after the interval of renewals. */
    HELD_BY_OTHER,
    /** The store did not answer or its reply was lost; ask again with back-off. */
    STORE_UNAVAILABLE,
    /** The object is not a lease; operators have to remove it. */
    MALFORMED
}
