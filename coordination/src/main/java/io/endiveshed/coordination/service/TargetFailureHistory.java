package io.endiveshed.coordination.service;

/**
 * What the recent answers of a target say of it. Confined to one thread.
 *
 * <p>Answers the load of targets that are dark, or fail a part of their requests while their health check is good.
 */
public final class TargetFailureHistory {
    /** Weight of the newest answer in the failure rate; some ten answers decide. */
    private static final double NEWEST_WEIGHT = 0.12;

    /** First time for which a silent or unreachable target gets no work, in nanoseconds; doubles with each repetition. */
    private static final long FIRST_PAUSE_NANOS = 700_000_000L;

    /** Longest such time in nanoseconds; a target that is back is found within it. */
    private static final long MAX_PAUSE_NANOS = 4_000_000_000L;

    private static final int MAX_DOUBLINGS = 3;

    private double failureRate;
    private int silences;
    private long pausedUntilNanos = Long.MIN_VALUE;

    /** Notes an answer that the target gave in time. */
    public void recordSuccess() {
        failureRate *= 1 - NEWEST_WEIGHT;
        silences = 0;
        pausedUntilNanos = Long.MIN_VALUE;
    }

    /** Notes a failure that the target answered, or an answer that broke off. */
    public void recordFailure() {
        failureRate += NEWEST_WEIGHT * (1 - failureRate);
    }

    /** Notes that the target could not be reached or did not answer. */
    public void recordNoResponse(long nowNanos) {
        recordFailure();
        long pause = Math.min(MAX_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(silences, MAX_DOUBLINGS));
        silences++;
        pausedUntilNanos = nowNanos + pause;
    }

    /** Returns the recent share of failures, 0 to 1. */
    public double failureRate() {
        return failureRate;
    }

    /** Tells whether the target gets no work for now. */
    public boolean isBackingOff(long nowNanos) {
        return pausedUntilNanos != Long.MIN_VALUE && nowNanos < pausedUntilNanos;
    }
}
