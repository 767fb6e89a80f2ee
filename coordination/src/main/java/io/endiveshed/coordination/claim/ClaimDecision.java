package io.endiveshed.coordination.claim;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.Incarnation;

/** Answer to a claim. Only {@link Granted} allows the call to run. */
public sealed interface ClaimDecision extends Effect {
    /** The attempt holds the claim. */
    record Granted() implements ClaimDecision {}

    /**
     * The call has already run.
     *
     * @param response its answer
     */
    record Completed(StoredResponse response) implements ClaimDecision {}

    /**
     * Another attempt holds the claim; whether it ran is not known.
     *
     * @param attempt attempt that holds the claim
     * @param holder sidecar incarnation that holds the claim
     */
    record Held(AttemptId attempt, Incarnation holder) implements ClaimDecision {}

    /** The key was used for a call with another body. */
    record DigestMismatch() implements ClaimDecision {}

    /** The attempt was revoked or released before; it must not run. */
    record Revoked() implements ClaimDecision {}

    /**
     * No claim could be made; the attempt has not run and this process will not run it.
     *
     * @param failure reason and remedy, with outcome {@code not_run}
     */
    record Unavailable(Failure failure) implements ClaimDecision {}
}
