package io.endiveshed.coordination.retry;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;

/**
 * Failed attempt, with the properties that decide whether it may be retried.
 *
 * @param attempt identity of the attempt
 * @param failure cause of the failure and what is known of the outcome
 * @param repeatable whether the request is safe to run twice
 * @param firstByteSent whether the caller has received a byte of the answer
 * @param remainingNanos time until the caller's deadline, in nanoseconds
 * @param neededNanos predicted duration of another attempt, in nanoseconds
 */
public record FailedAttempt(
        AttemptId attempt,
        Failure failure,
        boolean repeatable,
        boolean firstByteSent,
        long remainingNanos,
        long neededNanos) {}
