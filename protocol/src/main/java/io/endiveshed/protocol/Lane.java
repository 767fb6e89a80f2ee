package io.endiveshed.protocol;

/** Purpose of a link. Long request bodies have a separate link, so that they cannot delay short ones. */
public enum Lane {
    /** Control messages and requests with short bodies. */
    SHORT,
    /** Requests with long bodies. */
    LONG
}
