package io.endiveshed.coordination.claim;

import java.util.concurrent.CompletableFuture;

/** Record of this process that is not applied yet. Confined to the executor of its partition. */
final class PendingRecord {
    private final ClaimRecord record;
    private final CompletableFuture<RecordEffect> result = new CompletableFuture<>();
    private boolean checkedAgainstEnd;
    private boolean completedEarly;

    PendingRecord(ClaimRecord record) {
        this.record = record;
    }

    ClaimRecord record() {
        return record;
    }

    /** Returns the future of the effect; it never completes exceptionally. */
    CompletableFuture<RecordEffect> result() {
        return result;
    }

    boolean isClaim() {
        return record instanceof ClaimRecord.Claimed;
    }

    /** Returns whether the end of the log was read after this record was queued. */
    boolean isCheckedAgainstEnd() {
        return checkedAgainstEnd;
    }

    void setCheckedAgainstEnd(boolean value) {
        checkedAgainstEnd = value;
    }

    /**
     * Returns whether the result was completed before the record was applied, so that a granted claim must be released.
     */
    boolean isCompletedEarly() {
        return completedEarly;
    }

    /** Completes the result before the record is applied. */
    void completeEarly(RecordEffect effect) {
        completedEarly = true;
        result.complete(effect);
    }
}
