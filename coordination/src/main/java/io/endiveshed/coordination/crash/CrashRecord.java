package io.endiveshed.coordination.crash;

import io.endiveshed.base.id.InstanceId;
import java.util.List;

/**
 * What one entry has stored of the crashes that it has seen, for entries that do not receive its datagrams or start
 * later.
 *
 * @param entry instance of the entry
 * @param crashes crashes with the traits that the entry still suspects
 * @param answers traits that have been in an answer since some entry stored them as suspects
 */
public record CrashRecord(InstanceId entry, List<StoredCrash> crashes, List<StoredAnswer> answers) {
    public CrashRecord {
        crashes = List.copyOf(crashes);
        answers = List.copyOf(answers);
    }

    /**
     * Stored crash.
     *
     * @param crash the crash
     * @param atMillis Unix time in milliseconds at which the entry saw it
     */
    public record StoredCrash(TargetCrash crash, long atMillis) {}

    /**
     * Stored answer to a request.
     *
     * @param trait trait of the request
     * @param atMillis Unix time in milliseconds of the answer
     */
    public record StoredAnswer(RequestTrait trait, long atMillis) {}
}
