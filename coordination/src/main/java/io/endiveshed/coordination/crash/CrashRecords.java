package io.endiveshed.coordination.crash;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.crash.CrashRecord.StoredAnswer;
import io.endiveshed.coordination.crash.CrashRecord.StoredCrash;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides what an entry writes to the store of the crashes that it has seen, and applies what others have written.
 * Confined to one thread.
 *
 * <p>Handles entries that cannot exchange datagrams, and entries that start after the others have ended: all of them
 * must know a request that has crashed three targets. A crash in which no request is suspected of another crash as well
 * is written only if the datagrams do not reach all other entries, as most crashes have nothing to do with a request.
 * Parts of prompts are not written: a part that most prompts share is in most crashes, and only the answers to all entries
 * show that it is sound. An entry writes one record, which replaces its former one, and adopts that of its former
 * incarnation.
 *
 * <pre>{@code
 * records.observed(crash, nowMillis);
 * records.toWrite(reachesAll, nowNanos, nowMillis).ifPresent(record -> store.write(record).thenRun(() -> records.written(record)));
 * }</pre>
 */
public final class CrashRecords {
    /** Maximum number of crashes in a record, the latest ones; with the other bounds it has less than 60 KB. */
    private static final int MAX_CRASHES = 32;

    private static final int MAX_TRAITS_PER_CRASH = 48;
    private static final int MAX_ANSWERS = 64;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final InstanceId self;
    private final CrashSuspects suspects;
    private final Map<TargetStart, StoredCrash> ownCrashes = new LinkedHashMap<>();
    private final Set<TargetStart> storedCrashes = new HashSet<>();
    private final Map<InstanceId, CrashRecord> readRecords = new HashMap<>();
    private CrashRecord written;
    private boolean isListed;

    /** Creates the records of an entry whose knowledge of crashes is in the given object. */
    public CrashRecords(InstanceId self, CrashSuspects suspects) {
        this.self = self;
        this.suspects = suspects;
        this.written = new CrashRecord(self, List.of(), List.of());
    }

    /** Records a crash that this entry has seen itself. */
    public void observed(TargetCrash crash, long nowMillis) {
        add(new StoredCrash(crash, nowMillis));
    }

    /**
     * Applies the records of all entries in the store. What an earlier list had and this one lacks, because the store was
     * restored from a backup, is taken over: its entry may have ended and cannot write it again.
     *
     * @param nowNanos monotonic time
     * @param nowMillis Unix time at the same moment
     */
    public void listed(List<CrashRecord> records, long nowNanos, long nowMillis) {
        List<CrashRecord> before = List.copyOf(readRecords.values());
        readRecords.clear();
        records.forEach(record -> changed(record, nowNanos, nowMillis));
        before.forEach(record -> adoptLost(record, nowMillis));
        isListed = true;
    }

    /** Applies the record of an entry that has been written; times as for {@link #listed}. */
    public void changed(CrashRecord record, long nowNanos, long nowMillis) {
        readRecords.put(record.entry(), record);
        for (StoredCrash stored : record.crashes()) {
            if (isRecent(stored.atMillis(), nowMillis)) {
                suspects.crashed(stored.crash(), toNanos(stored.atMillis(), nowNanos, nowMillis), nowNanos);
            }
        }
        for (StoredAnswer answer : record.answers()) {
            suspects.answered(Set.of(answer.trait()), toNanos(answer.atMillis(), nowNanos, nowMillis));
        }
        if (record.entry().equals(self)) {
            adopt(record, nowMillis);
        }
    }

    /** Records that the store has been restored from a backup, which may lack the own record. */
    public void storeRestored() {
        written = new CrashRecord(self, List.of(), List.of());
    }

    /**
     * Returns the record that this entry should write to the store; empty if the store has all that matters.
     *
     * @param reachesAll whether all other entries receive this entry's datagrams, as far as it knows
     * @param nowNanos monotonic time
     * @param nowMillis Unix time at the same moment
     */
    public Optional<CrashRecord> toWrite(boolean reachesAll, long nowNanos, long nowMillis) {
        if (!isListed) {
            return Optional.empty();
        }
        removeExpired(nowMillis);
        List<StoredCrash> crashes = new ArrayList<>();
        for (Map.Entry<TargetStart, StoredCrash> own : ownCrashes.entrySet()) {
            StoredCrash suspected = withCurrentSuspects(own.getKey(), own.getValue());
            boolean isNeeded = !reachesAll || storedCrashes.contains(own.getKey()) || hasRepeatedSuspect(suspected);
            if (isNeeded && !suspected.crash().traits().isEmpty()) {
                crashes.add(suspected);
            }
        }
        CrashRecord record = new CrashRecord(self, crashes, answers(reachesAll, nowNanos, nowMillis));
        return addsTo(written, record) ? Optional.of(record) : Optional.empty();
    }

    /** Records that the store has acknowledged a record. */
    public void written(CrashRecord record) {
        written = record;
        record.crashes().forEach(stored -> storedCrashes.add(TargetStart.of(stored.crash())));
    }

    /**
     * Returns answers to requests that are stored as suspects: in the own record, and in those of others if they may not
     * learn of the answers in another way. An answer before the crash tells others that the request is no new one.
     */
    private List<StoredAnswer> answers(boolean reachesAll, long nowNanos, long nowMillis) {
        Map<RequestTrait, StoredAnswer> answers = new LinkedHashMap<>();
        written.answers().stream()
                .filter(answer -> isRecent(answer.atMillis(), nowMillis))
                .forEach(answer -> answers.put(answer.trait(), answer));
        List<CrashRecord> records = new ArrayList<>(List.of(written));
        if (!reachesAll) {
            records.addAll(readRecords.values());
        }
        for (CrashRecord record : records) {
            for (StoredCrash stored : record.crashes()) {
                long crashNanos = toNanos(stored.atMillis(), nowNanos, nowMillis);
                for (RequestTrait trait : stored.crash().traits()) {
                    OptionalLong answered = suspects.answeredNanos(trait);
                    StoredAnswer known = answers.get(trait);
                    boolean isNews = isRecent(stored.atMillis(), nowMillis)
                            && (known == null || known.atMillis() < stored.atMillis());
                    boolean isAfterCrash = answered.isPresent() && answered.getAsLong() - crashNanos >= 0;
                    if (isNews && answered.isPresent() && (known == null || isAfterCrash)) {
                        long ageMillis = (nowNanos - answered.getAsLong()) / NANOS_PER_MILLI;
                        answers.put(trait, new StoredAnswer(trait, nowMillis - ageMillis));
                    }
                }
            }
        }
        return answers.values().stream()
                .skip(Math.max(0, answers.size() - MAX_ANSWERS))
                .toList();
    }

    private void add(StoredCrash crash) {
        TargetStart start = TargetStart.of(crash.crash());
        StoredCrash known = ownCrashes.get(start);
        Set<RequestTrait> traits = new HashSet<>(crash.crash().traits());
        if (known != null) {
            traits.addAll(known.crash().traits());
        }
        ownCrashes.put(
                start,
                new StoredCrash(
                        new TargetCrash(start.target(), start.startedMillis(), traits),
                        known == null ? crash.atMillis() : known.atMillis()));
        if (ownCrashes.size() > MAX_CRASHES) {
            ownCrashes.remove(ownCrashes.keySet().iterator().next());
        }
    }

    /** Takes over what the store has of this entry, maybe of a former incarnation, so that no write loses it. */
    private void adopt(CrashRecord record, long nowMillis) {
        written = record;
        for (StoredCrash stored : record.crashes()) {
            if (isRecent(stored.atMillis(), nowMillis)) {
                add(stored);
                storedCrashes.add(TargetStart.of(stored.crash()));
            }
        }
    }

    private void adoptLost(CrashRecord before, long nowMillis) {
        CrashRecord now =
                readRecords.getOrDefault(before.entry(), new CrashRecord(before.entry(), List.of(), List.of()));
        Set<TargetStart> kept = new HashSet<>();
        now.crashes().forEach(stored -> kept.add(TargetStart.of(stored.crash())));
        for (StoredCrash stored : before.crashes()) {
            TargetStart start = TargetStart.of(stored.crash());
            if (!kept.contains(start) && isRecent(stored.atMillis(), nowMillis)) {
                add(stored);
                storedCrashes.add(start);
            }
        }
    }

    private StoredCrash withCurrentSuspects(TargetStart start, StoredCrash stored) {
        Set<RequestTrait> current = new HashSet<>();
        stored.crash().traits().stream()
                .filter(trait -> trait.kind() != RequestTrait.Kind.PROMPT_PART)
                .filter(suspects.suspectsOf(start)::contains)
                .sorted()
                .limit(MAX_TRAITS_PER_CRASH)
                .forEach(current::add);
        return new StoredCrash(new TargetCrash(start.target(), start.startedMillis(), current), stored.atMillis());
    }

    private boolean hasRepeatedSuspect(StoredCrash stored) {
        return stored.crash().traits().stream().anyMatch(trait -> suspects.suspectedCrashes(trait) > 1);
    }

    /** Returns whether a record has anything that the former one lacks; what is missing in it does no harm there. */
    private static boolean addsTo(CrashRecord former, CrashRecord record) {
        return record.answers().stream().anyMatch(answer -> !former.answers().contains(answer))
                || record.crashes().stream()
                        .anyMatch(stored -> former.crashes().stream()
                                .noneMatch(known -> known.atMillis() == stored.atMillis()
                                        && TargetStart.of(known.crash()).equals(TargetStart.of(stored.crash()))
                                        && known.crash()
                                                .traits()
                                                .containsAll(stored.crash().traits())));
    }

    private void removeExpired(long nowMillis) {
        ownCrashes
                .entrySet()
                .removeIf(own -> !isRecent(own.getValue().atMillis(), nowMillis)
                        && suspects.suspectsOf(own.getKey()).isEmpty());
        storedCrashes.retainAll(ownCrashes.keySet());
    }

    private static boolean isRecent(long atMillis, long nowMillis) {
        return nowMillis - atMillis <= CrashSuspects.WINDOW_MILLIS;
    }

    /** Converts a Unix time of another machine; one that lies in the future is taken for now. */
    private static long toNanos(long atMillis, long nowNanos, long nowMillis) {
        return nowNanos - Math.max(0, nowMillis - atMillis) * NANOS_PER_MILLI;
    }
}
