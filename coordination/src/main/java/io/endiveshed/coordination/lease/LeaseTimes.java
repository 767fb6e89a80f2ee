package io.endiveshed.coordination.lease;

import java.time.Duration;

/**
 * Times of a lease.
 *
 * @param duration time for which a write by the holder counts
 * @param margin time before the end at which the holder stops acting; covers the drift between two monotonic clocks
 *     and the time from a check of the lease to the end of the action that follows
 */
public record LeaseTimes(Duration duration, Duration margin) {
    /** Twenty times the store's usual response time between renewals, and outages of 10 s are survived. */
    public static final LeaseTimes DEFAULT = new LeaseTimes(Duration.ofSeconds(15), Duration.ofSeconds(3));

    /** Checks the times; throws {@link IllegalArgumentException} if the margin leaves no time to act. */
    public LeaseTimes {
        if (margin.isNegative() || margin.compareTo(duration) >= 0) {
            throw new IllegalArgumentException("lease margin " + margin + " must be shorter than " + duration);
        }
    }

    /** Returns the time after which the holder renews: a third, so that two renewals may fail. */
    public Duration renewAfter() {
        return duration.dividedBy(3);
    }
}
