package io.endiveshed.coordination.claim;

/** Effect of a record on the key table, the same for every reader of the log. */
sealed interface Effect permits ClaimDecision, RevokeOutcome, Effect.Noted {
    /** Effect of a record whose writer needs no decision. */
    enum Noted implements Effect {
        NOTED
    }
}
