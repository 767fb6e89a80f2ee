package io.endiveshed.entry.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import java.util.EnumSet;
import java.util.Set;

/** Decides whether a failed attempt may be followed by another. */
final class RetryRules {
    /** Most attempts of one request; more would multiply the load of a request that breaks its targets. */
    static final int MAX_ATTEMPTS = 3;

    /** Kinds that say something about one target; another target can do better. */
    private static final Set<ErrorKind> RETRYABLE_KINDS = EnumSet.of(
            ErrorKind.TARGET_FAILED,
            ErrorKind.LINK_LOST,
            ErrorKind.STALE_INCARNATION,
            ErrorKind.OVERLOADED,
            ErrorKind.STOPPING,
            ErrorKind.PROTOCOL_ERROR);

    private RetryRules() {}

    /**
     * Tells whether the rules permit another attempt; the caller has received no byte yet.
     *
     * @param hasIdempotencyKey whether the call carries an idempotency key and must not run twice
     * @param attempts attempts made so far
     * @param failure how the last one ended
     */
    static boolean mayRetry(boolean hasIdempotencyKey, int attempts, Failure failure) {
        if (attempts >= MAX_ATTEMPTS || !RETRYABLE_KINDS.contains(failure.kind())) {
            return false;
        }
        return switch (failure.outcome()) {
            case NOT_RUN -> true;
            case UNKNOWN -> !hasIdempotencyKey;
            case COMPLETED -> false;
        };
    }
}
