package io.endiveshed.coordination.claim;

/** Effect of a record on the claim table, equal for every reader of the log. */
sealed interface RecordEffect permits ClaimDecision, RevokeOutcome, RecordEffect.Applied {
    /** Effect of a record that has no decision. */
    enum Applied implements RecordEffect {
        APPLIED
    }
}
