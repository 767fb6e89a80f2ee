package io.endiveshed.coordination.availability;

/**
 * One restriction on the requests that a target gets. Confined to one thread; times are those of a monotonic clock in
 * nanoseconds.
 */
@FunctionalInterface
public interface RequestGate {
    /** Returns whether this restriction lets a request through now; does not count it. */
    TargetStatus status(long nowNanos);

    /** Counts a request that is written now; called only while {@link #status} is available. */
    default void acquire(long nowNanos) {}
}
