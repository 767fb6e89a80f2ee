package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.Incarnation;
import java.util.List;

/**
 * A batch of records with its position in the log.
 *
 * @param number position, from 1
 * @param writer incarnation of the process that wrote it
 * @param nonce random number by which the writer recognises its entry after a lost reply
 * @param timeMillis log time in milliseconds since the epoch; never decreases along the log
 * @param limits limits under which every reader applies the records
 * @param records records in their order
 */
record LogEntry(
        long number, Incarnation writer, long nonce, long timeMillis, KeyLimits limits, List<ClaimRecord> records) {
    LogEntry {
        records = List.copyOf(records);
    }

    boolean isSameWrite(LogEntry other) {
        return number == other.number && writer.equals(other.writer) && nonce == other.nonce;
    }
}
