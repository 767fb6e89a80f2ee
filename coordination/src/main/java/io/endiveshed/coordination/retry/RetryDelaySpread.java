package io.endiveshed.coordination.retry;

import java.time.Duration;

/**
 * Spreads the return of callers that are refused at the same moment, such as those of an evacuated failure domain, over
 * an interval that ends before they give up.
 */
public final class RetryDelaySpread {
    /** Length of the interval as a multiple of the delay after which a single caller could be served. */
    private static final double LENGTH = 1;

    /** Earliest return as a part of the latest, if the callers cannot wait for the whole delay. */
    private static final double MIN_PART = 0.5;

    private RetryDelaySpread() {}

    /**
     * Returns the delay of one caller.
     *
     * @param delay delay after which a single caller could be served
     * @param longest longest delay that the caller accepts
     * @param position position of the caller in the interval, at least 0 and below 1; random for each caller
     */
    public static Duration delay(Duration delay, Duration longest, double position) {
        double latest = Math.min(delay.toMillis() * (1 + LENGTH), (double) longest.toMillis());
        double earliest = Math.min((double) delay.toMillis(), latest * MIN_PART);
        return Duration.ofMillis((long) (earliest + position * (latest - earliest)));
    }
}
