package io.endiveshed.coordination.retry;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Outcome;
import java.util.EnumSet;
import java.util.Set;

/**
 * Decides whether the entry retries a failed attempt on another target. Thread-safe.
 *
 * <p>A request is retried only if it is repeatable or proved not to have run, if the caller has received no byte of the
 * answer, if another attempt can finish within the deadline, and if the retry budget allows it. Failures that would
 * occur on every target are not retried. Refusals for overload are not retried either, since an immediate retry would
 * increase the overload; the caller gets a delay in Retry-After instead.
 */
public final class RetryPolicy {
    /** Maximum number of attempts for one request, including the first. */
    public static final int MAX_ATTEMPTS = 3;

    private static final Set<ErrorKind> RETRYABLE_KINDS = EnumSet.of(
            ErrorKind.TARGET_FAILED,
            ErrorKind.LINK_LOST,
            ErrorKind.STALE_INCARNATION,
            ErrorKind.STOPPING,
            ErrorKind.NO_TARGET);

    private final AttemptBudget budget;

    /** Creates a policy that takes retries from the given budget. */
    public RetryPolicy(AttemptBudget budget) {
        this.budget = budget;
    }

    /** Returns whether to retry a failed attempt; if so, takes the retry from the budget. */
    public boolean shouldRetry(FailedAttempt failed) {
        boolean isSafe = failed.repeatable() || failed.failure().outcome() == Outcome.NOT_RUN;
        boolean isPossible = !failed.firstByteSent()
                && failed.attempt().number() < MAX_ATTEMPTS
                && failed.neededNanos() <= failed.remainingNanos();
        return isSafe && isPossible && RETRYABLE_KINDS.contains(failed.failure().kind()) && budget.tryAcquire();
    }
}
