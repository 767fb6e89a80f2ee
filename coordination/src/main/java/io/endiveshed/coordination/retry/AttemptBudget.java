package io.endiveshed.coordination.retry;

import io.endiveshed.coordination.cost.DecayedSum;
import java.util.function.LongSupplier;

/**
 * Limits extra attempts, such as retries or hedged attempts, to a share of the recent requests. Without the limit,
 * retries of failures caused by overload would multiply the load. Thread-safe.
 *
 * <pre>{@code
 * AttemptBudget retries = new AttemptBudget(AttemptBudget.RETRY_SHARE, nanoClock);
 * retries.recordRequest();
 * if (retries.tryAcquire()) {
 *     // Send another attempt.
 * }
 * }</pre>
 */
public final class AttemptBudget {
    /** Maximum number of retries per recent request. */
    public static final double RETRY_SHARE = 0.1;
    /**
     * Maximum number of hedged attempts per recent request; lower, since a hedge is sent before any attempt has failed.
     */
    public static final double HEDGE_SHARE = 0.02;

    /** Time constant of the decay: time over which requests count as recent, in nanoseconds. */
    private static final long TIME_CONSTANT_NANOS = 10_000_000_000L;
    /** Default number of attempts in addition to the share, so that a single failed request can be retried. */
    private static final double DEFAULT_RESERVE_ATTEMPTS = 1;

    private final double share;
    private final double reserve;
    private final DecayedSum requests;
    private final DecayedSum attempts;

    /** Creates a budget of the given share of recent requests, with an additional allowance of one attempt. */
    public AttemptBudget(double share, LongSupplier nanoClock) {
        this(share, DEFAULT_RESERVE_ATTEMPTS, nanoClock);
    }

    /**
     * Creates a budget.
     *
     * @param share extra attempts per recent request
     * @param reserve recent extra attempts that are allowed in addition to the share
     * @param nanoClock monotonic clock in nanoseconds
     */
    public AttemptBudget(double share, double reserve, LongSupplier nanoClock) {
        this.share = share;
        this.reserve = reserve;
        this.requests = new DecayedSum(nanoClock, TIME_CONSTANT_NANOS);
        this.attempts = new DecayedSum(nanoClock, TIME_CONSTANT_NANOS);
    }

    /** Records a request from a caller. */
    public void recordRequest() {
        requests.add(1);
    }

    /** Takes an extra attempt from the budget if it allows one; returns whether it did. */
    public synchronized boolean tryAcquire() {
        if (attempts.value() + 1 > share * requests.value() + reserve) {
            return false;
        }
        attempts.add(1);
        return true;
    }
}
