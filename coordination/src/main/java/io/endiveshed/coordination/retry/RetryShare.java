package io.endiveshed.coordination.retry;

import java.util.function.LongSupplier;

/**
 * Computes one entry's share of a budget of extra attempts that all entries share without communication.
 *
 * <p>Each entry may repeat a fixed ratio of the requests that it forwards itself, which needs no coordination. The
 * allowance in addition to the ratio is divided by the number of entries that the platform lists. Listed entries that
 * no longer exist make the shares smaller than necessary, never larger.
 *
 * <pre>{@code
 * AttemptBudget budget = new RetryShare(0.2, 106).budget(5, System::nanoTime);
 * }</pre>
 *
 * @param ratio extra attempts per request, over all entries
 * @param allowance extra attempts in addition to the ratio within the operator's window, over all entries
 */
public record RetryShare(double ratio, double allowance) {
    /** Part of the ratio that is used; the rest compensates for requests that are counted later than their retries. */
    private static final double USED_RATIO_PART = 0.7;

    /**
     * Part of the allowance that is used, since a decaying sum permits up to 1.6 times its limit in a sliding window.
     */
    private static final double USED_ALLOWANCE_PART = 0.4;

    /** Minimum number of entries by which the allowance is divided, since others may not be known yet. */
    private static final int MIN_ENTRIES = 4;

    /** Returns a new budget for one entry, given the number of listed entries and a monotonic clock in nanoseconds. */
    public AttemptBudget budget(int entries, LongSupplier nanoClock) {
        return new AttemptBudget(
                ratio * USED_RATIO_PART, allowance * USED_ALLOWANCE_PART / Math.max(MIN_ENTRIES, entries), nanoClock);
    }
}
