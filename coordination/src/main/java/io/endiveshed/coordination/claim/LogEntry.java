package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.Incarnation;
import java.util.List;

/**
 * Entry of the claim log: a batch of records that one process writes at one position.
 *
 * @param number position in the log of the partition, from 1
 * @param writer incarnation of the process that wrote it
 * @param nonce random number by which the writer identifies its entry after the reply of a write was lost
 * @param timeMillis log time in milliseconds since the epoch; never decreases along the log
 * @param limits limits of the writer, which every reader uses to apply the records
 * @param records records in the order of their application
 */
record LogEntry(
        long number,
        Incarnation writer,
        long nonce,
        long timeMillis,
        ClaimTableLimits limits,
        List<ClaimRecord> records) {
    LogEntry {
        records = List.copyOf(records);
    }

    /** Returns whether two entries come from the same write or from repetitions of it. */
    boolean isSameWrite(LogEntry other) {
        return number == other.number && writer.equals(other.writer) && nonce == other.nonce;
    }
}
