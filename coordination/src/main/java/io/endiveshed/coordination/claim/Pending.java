package io.endiveshed.coordination.claim;

import java.util.concurrent.CompletableFuture;

/** A record of this process that waits for its place in the log. Used only in the mailbox of its partition. */
final class Pending {
    private final ClaimRecord record;
    private final CompletableFuture<Effect> result = new CompletableFuture<>();
    private boolean compared;
    private boolean abandoned;

    Pending(ClaimRecord record) {
        this.record = record;
    }

    ClaimRecord record() {
        return record;
    }

    /** Returns the stage that completes with the effect, and never exceptionally. */
    CompletableFuture<Effect> result() {
        return result;
    }

    boolean isClaim() {
        return record instanceof ClaimRecord.Claimed;
    }

    /** Returns true if the end of the log was read after this record arrived. */
    boolean isCompared() {
        return compared;
    }

    void compared(boolean value) {
        compared = value;
    }

    /** Returns true if the waiting party was answered before the effect is known, so a grant must be given back. */
    boolean isAbandoned() {
        return abandoned;
    }

    void abandon(Effect answer) {
        abandoned = true;
        result.complete(answer);
    }
}
