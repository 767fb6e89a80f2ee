package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.Incarnation;

/** A record of the claim log. */
sealed interface ClaimRecord {
    /** Returns the key that the record is about. */
    ClaimKey key();

    /** Returns the attempt that the record is about. */
    AttemptId attempt();

    /**
     * Claim of a key by an attempt.
     *
     * @param digest SHA-256 of the request body
     * @param holder sidecar incarnation that makes the claim
     */
    record Claimed(ClaimKey key, AttemptId attempt, byte[] digest, Incarnation holder) implements ClaimRecord {}

    /** The holder dropped the call before the target was called. */
    record Released(ClaimKey key, AttemptId attempt) implements ClaimRecord {}

    /** The attempt must not run. */
    record Revoked(ClaimKey key, AttemptId attempt) implements ClaimRecord {}

    /** The call ran to its end. */
    record Completed(ClaimKey key, AttemptId attempt, StoredResponse response) implements ClaimRecord {}
}
