package io.endiveshed.coordination.claim;

/** Result of revoking an attempt. */
public enum RevokeOutcome implements Effect {
    /** The attempt has not run and never will, and no other attempt of the key holds a claim. */
    REVOKED,
    /** The call of this key ran to its end; its answer is in the log. */
    COMPLETED,
    /** The call may have run or may still run. */
    UNKNOWN
}
