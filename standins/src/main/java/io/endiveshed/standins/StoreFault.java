package io.endiveshed.standins;

/** Fault of one call to the store. */
public enum StoreFault {
    /** No fault. */
    NONE,
    /** The call is refused and has no effect. */
    UNAVAILABLE,
    /** The request is lost: the call has no effect, and the caller does not learn its outcome. */
    LOST_REQUEST,
    /** The reply is lost: the call takes effect, but the caller does not learn its outcome. */
    LOST_REPLY
}
