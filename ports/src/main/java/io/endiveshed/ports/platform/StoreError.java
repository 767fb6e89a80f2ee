package io.endiveshed.ports.platform;

/** Ways in which a call to the store fails. */
public enum StoreError {
    /** The condition of the write did not hold; nothing was written by this call. */
    CONFLICT,
    /** The store cannot be reached or refused the call; nothing was written. */
    UNAVAILABLE,
    /** The reply was lost; the write may have taken effect. Read the object back and compare the nonce. */
    UNKNOWN,
    /** The watch asks for changes that the store no longer keeps; list again. */
    TOO_OLD,
    /** The value exceeds {@link ObjectStore#MAX_VALUE_BYTES}. */
    TOO_LARGE,
    /** The budget of calls of this process is spent; nothing was sent. */
    BUDGET_SPENT
}
