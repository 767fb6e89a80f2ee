package io.endiveshed.protocol;

/** Purpose of a link; long bodies have a link of their own so that they cannot delay short ones. */
public enum Lane {
    /** Control messages and requests with short bodies. */
    SHORT,
    /** Requests with long bodies. */
    LONG
}
