package io.endiveshed.coordination.crash;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.PromptPartId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Finds the part of prompts on which engines crash, so that such prompts are refused before they crash more engines.
 * Confined to one thread.
 *
 * <p>Handles the load of prompts that crash each engine that begins to answer them, beside sound prompts that have all
 * their other parts in common with them and run on the same engines. A crash breaks off every prompt of its engine, so
 * one crash accuses many parts. Only the part at fault is in each of the crashes and never in an answer:
 *
 * <ul>
 *   <li>a part is accused by the crashes since it was last in a complete answer;
 *   <li>the part with the most crashes is blocked if there are enough of them and it explains most crashes;
 *   <li>crashes of prompts with a blocked part accuse no other part.
 * </ul>
 *
 * <p>A block ends after some minutes, or as soon as an answer shows that the part is sound. Entries exchange crashes,
 * answers and blocks, since each sees only its own prompts.
 *
 * <pre>{@code
 * crashingParts.crashed(new EngineCrash(engine, startedMillis, parts), nowNanos);
 * OptionalLong blocked = crashingParts.blockedMillis(partsOfNextPrompt, nowNanos);
 * }</pre>
 */
public final class CrashingParts {
    /** Time in milliseconds for which prompts with a blocked part are refused. */
    public static final long BLOCK_MILLIS = 300_000;

    /** Crashes that block a part which was in no answer that is remembered; two may be a coincidence. */
    private static final int MIN_CRASHES = 3;

    /** Crashes that block a part which was in an answer before; sound parts that many prompts share are accused often. */
    private static final int MIN_CRASHES_AFTER_ANSWER = 6;

    /** Crashes up to which a decision between equally accused parts is put off, as the next crash may tell them apart. */
    private static final int MAX_CRASHES_OF_TIE = 8;

    /** Share of the unexplained crashes that a part must explain; other engines may crash for another reason. */
    private static final double MIN_EXPLAINED_SHARE = 0.5;

    /** Time in milliseconds after a crash in which the reports of other entries arrive, before it counts. */
    private static final long SETTLE_MILLIS = 100;

    /** Time in milliseconds for which a crash is remembered. */
    private static final long WINDOW_MILLIS = 60_000;

    private static final int MAX_CRASHES = 64;
    private static final int MAX_PARTS_PER_CRASH = 128;
    private static final int MAX_BLOCKS = 32;

    /** Number of parts of which the last answer is remembered, the latest ones. */
    private static final int MAX_ANSWERED_PARTS = 4_096;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Map<EngineStart, Crash> crashes = new LinkedHashMap<>();
    private final Map<PromptPartId, Long> answeredNanos = new BoundedMap<>(MAX_ANSWERED_PARTS);
    private final Map<PromptPartId, Long> blockedNanos = new BoundedMap<>(MAX_BLOCKS);
    private OptionalLong nextDecisionNanos = OptionalLong.empty();

    /** Records a crash and returns whether it was unknown; reports of the same crash by several entries are merged. */
    public boolean crashed(EngineCrash report, long nowNanos) {
        crashes.values().removeIf(crash -> nowNanos - crash.atNanos > WINDOW_MILLIS * NANOS_PER_MILLI);
        EngineStart engine = new EngineStart(report.engine(), report.startedMillis());
        boolean isNew = !crashes.containsKey(engine);
        Crash crash = crashes.computeIfAbsent(engine, key -> new Crash(nowNanos));
        for (PromptPartId part : report.parts()) {
            if (crash.parts.size() < MAX_PARTS_PER_CRASH) {
                crash.parts.add(part);
            }
        }
        if (crashes.size() > MAX_CRASHES) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        if (nextDecisionNanos.isEmpty()) {
            nextDecisionNanos = OptionalLong.of(nowNanos + SETTLE_MILLIS * NANOS_PER_MILLI);
        }
        return isNew;
    }

    /**
     * Records a complete answer to a prompt, which shows that its parts are sound.
     *
     * @return the parts that crashes had accused or that were blocked; other entries should know of their answer
     */
    public Set<PromptPartId> answered(Collection<PromptPartId> parts, long nowNanos) {
        Set<PromptPartId> cleared = new HashSet<>();
        for (PromptPartId part : parts) {
            boolean isAccused = blockedNanos.remove(part) != null
                    || crashes.values().stream().anyMatch(crash -> accuses(crash, part));
            if (isAccused) {
                cleared.add(part);
            }
            answeredNanos.remove(part);
            answeredNanos.put(part, nowNanos);
        }
        if (!cleared.isEmpty() && nextDecisionNanos.isEmpty()) {
            // Parts that were accused equally may have been told apart.
            nextDecisionNanos = OptionalLong.of(nowNanos);
        }
        return cleared;
    }

    /** Records that another entry blocks a part, unless the part was in an answer since. */
    public void blockedElsewhere(BlockedPart blocked, long nowNanos) {
        long sinceNanos = nowNanos - Math.max(0, blocked.ageMillis()) * NANOS_PER_MILLI;
        Long answered = answeredNanos.get(blocked.part());
        boolean isRefuted = answered != null && answered - sinceNanos >= 0;
        if (!isRefuted && blocked.ageMillis() < BLOCK_MILLIS) {
            blockedNanos.putIfAbsent(blocked.part(), sinceNanos);
        }
    }

    /**
     * Returns for how many milliseconds a prompt is still refused because engines crash on one of its parts, or may do so
     * and the decision is pending; empty if it may be sent.
     */
    public OptionalLong blockedMillis(Collection<PromptPartId> parts, long nowNanos) {
        removeExpired(nowNanos);
        OptionalLong blocked = parts.stream()
                .map(blockedNanos::get)
                .filter(since -> since != null)
                .mapToLong(since -> BLOCK_MILLIS - (nowNanos - since) / NANOS_PER_MILLI)
                .max();
        if (blocked.isPresent() || nextDecisionNanos.isEmpty() || crashes.size() < MIN_CRASHES) {
            return blocked;
        }
        boolean isPending =
                parts.stream().anyMatch(part -> !answeredNanos.containsKey(part) && accusations(part) >= MIN_CRASHES);
        return isPending ? OptionalLong.of(SETTLE_MILLIS) : OptionalLong.empty();
    }

    private long accusations(PromptPartId part) {
        return crashes.values().stream()
                .filter(crash -> isUnexplained(crash) && accuses(crash, part))
                .count();
    }

    /** Returns the blocked parts. */
    public List<BlockedPart> blocked(long nowNanos) {
        removeExpired(nowNanos);
        List<BlockedPart> blocked = new ArrayList<>();
        blockedNanos.forEach((part, since) -> blocked.add(new BlockedPart(part, (nowNanos - since) / NANOS_PER_MILLI)));
        return blocked;
    }

    /** Blocks the parts at fault for the crashes that were recorded long enough ago, and returns them. */
    public List<PromptPartId> decide(long nowNanos) {
        if (nextDecisionNanos.isEmpty() || nowNanos - nextDecisionNanos.getAsLong() < 0) {
            return List.of();
        }
        List<PromptPartId> newlyBlocked = new ArrayList<>();
        for (List<PromptPartId> found = findCulprits(nowNanos); !found.isEmpty(); found = findCulprits(nowNanos)) {
            for (PromptPartId part : found) {
                blockedNanos.put(part, nowNanos);
                newlyBlocked.add(part);
            }
        }
        nextDecisionNanos = crashes.values().stream()
                .mapToLong(crash -> crash.atNanos + SETTLE_MILLIS * NANOS_PER_MILLI)
                .filter(settled -> settled - nowNanos > 0)
                .min();
        return newlyBlocked;
    }

    /** Returns the number of remembered crashes that no blocked part explains. */
    public int unexplainedCrashes() {
        return (int) crashes.values().stream().filter(this::isUnexplained).count();
    }

    private List<PromptPartId> findCulprits(long nowNanos) {
        Map<PromptPartId, Integer> counts = new HashMap<>();
        int unexplained = 0;
        for (Crash crash : crashes.values()) {
            if (!isUnexplained(crash) || nowNanos - crash.atNanos < SETTLE_MILLIS * NANOS_PER_MILLI) {
                continue;
            }
            unexplained++;
            for (PromptPartId part : crash.parts) {
                if (accuses(crash, part)) {
                    counts.merge(part, 1, Integer::sum);
                }
            }
        }
        int most = 0;
        List<PromptPartId> culprits = new ArrayList<>();
        for (Map.Entry<PromptPartId, Integer> entry : counts.entrySet()) {
            int needed = answeredNanos.containsKey(entry.getKey()) ? MIN_CRASHES_AFTER_ANSWER : MIN_CRASHES;
            int count = entry.getValue();
            if (count < needed || count < unexplained * MIN_EXPLAINED_SHARE || count < most) {
                continue;
            }
            if (count > most) {
                most = count;
                culprits.clear();
            }
            culprits.add(entry.getKey());
        }
        // A part that was never in an answer is at fault rather than one that was.
        if (culprits.stream().anyMatch(part -> !answeredNanos.containsKey(part))) {
            culprits.removeIf(answeredNanos::containsKey);
        }
        return culprits.size() > 1 && most < MAX_CRASHES_OF_TIE ? List.of() : culprits;
    }

    private boolean accuses(Crash crash, PromptPartId part) {
        Long answered = answeredNanos.get(part);
        return crash.parts.contains(part) && (answered == null || crash.atNanos - answered > 0);
    }

    private boolean isUnexplained(Crash crash) {
        return crash.parts.stream().noneMatch(blockedNanos::containsKey);
    }

    private void removeExpired(long nowNanos) {
        blockedNanos.values().removeIf(since -> nowNanos - since >= BLOCK_MILLIS * NANOS_PER_MILLI);
    }

    /**
     * One process lifetime of an engine.
     *
     * @param engine id of the engine
     * @param startedMillis Unix time of its start in milliseconds
     */
    private record EngineStart(InstanceId engine, long startedMillis) {}

    /** Crash with the parts of all prompts that were running on the engine, as far as they are known. */
    private static final class Crash {
        private final long atNanos;
        private final Set<PromptPartId> parts = new HashSet<>();

        private Crash(long atNanos) {
            this.atNanos = atNanos;
        }
    }

    /** Map that drops its oldest entry when it is full. */
    private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;

        private final int maxSize;

        private BoundedMap(int maxSize) {
            this.maxSize = maxSize;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > maxSize;
        }
    }
}
