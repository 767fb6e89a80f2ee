package io.endiveshed.coordination.lease;

import java.time.Duration;

/**
 * Duration of a lease and its safety margin.
 *
 * @param duration time for which a write by the holder keeps the lease
 * @param margin time before the end of the lease at which the holder stops acting; covers the drift between two
 *     monotonic clocks and the time from a check of the lease to the end of the following action
 */
public record LeaseTimes(Duration duration, Duration margin) {
    /**
     * Default times: the holder renews after twenty times the usual response time of the store, and keeps the lease
     * through a store outage of 10 s.
     */
    public static final LeaseTimes DEFAULT = new LeaseTimes(Duration.ofSeconds(15), Duration.ofSeconds(3));

    /** Throws {@link IllegalArgumentException} if the margin is negative or not shorter than the duration. */
    public LeaseTimes {
        if (margin.isNegative() || margin.compareTo(duration) >= 0) {
            throw new IllegalArgumentException("lease margin " + margin
                    + " must not be negative and must be shorter than the lease duration " + duration);
        }
    }

    /** Returns the time between renewals: a third of the duration, so that the lease survives two failed renewals. */
    public Duration renewInterval() {
        return duration.dividedBy(3);
    }
}
