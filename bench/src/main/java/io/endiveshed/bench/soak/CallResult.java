package io.endiveshed.bench.soak;

/** How a call ended for its caller. */
enum CallResult {
    /** A complete answer. */
    ANSWERED,
    /** An error with outcome {@code not_run}. */
    NOT_RUN,
    /** An error with outcome {@code unknown}. */
    UNKNOWN,
    /** An error with outcome {@code completed}. */
    COMPLETED,
    /** The connection failed or closed before the end of the answer. */
    BROKEN,
    /** The caller disconnected on purpose. */
    DISCONNECTED,
    /** No end within the deadline and the tolerance. */
    LATE
}
