package io.endiveshed.ports.platform;

/** Errors of calls to the store. */
public enum StoreError {
    /** The condition of the write did not hold; this call wrote nothing. */
    CONFLICT,
    /** The store is unreachable or refused the call; nothing was written. */
    UNAVAILABLE,
    /** The reply was lost; the write may have taken effect. Read the object back and compare the nonce. */
    UNKNOWN,
    /** The watch starts at a version whose changes the store no longer keeps; list the objects again. */
    TOO_OLD,
    /**
     * The value exceeds {@link ObjectStore#MAX_VALUE_BYTES}, or a reply its maximum size. If it is the reply to a watch,
     * list the objects in place of their changes.
     */
    TOO_LARGE,
    /** The call budget of this process is exhausted; nothing was sent. */
    BUDGET_SPENT
}
