package io.endiveshed.coordination.crash;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.crash.RequestTrait.Kind;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds what the requests have in common under which targets crash, so that such requests are refused before they crash
 * more targets. Confined to one thread.
 *
 * <p>Handles the load of requests that crash each target that begins to run them, beside sound requests that run on the
 * same targets: one request that comes again and again, or different prompts with one part in common. A crash breaks off
 * every request of its target, so one crash makes many traits suspect. Only the trait of the crashing requests is in each
 * of the crashes and never in an answer:
 *
 * <ul>
 *   <li>a trait is suspected of the crashes since it was last in a complete answer;
 *   <li>a whole request is blocked if it explains enough crashes, and more than any other request of the same crashes;
 *   <li>a trait that different requests share is blocked only if it explains more crashes than each of these requests;
 *   <li>crashes of requests that are blocked make no other request suspect.
 * </ul>
 *
 * <p>A block ends after some minutes, or as soon as an answer shows that the trait is sound. If the requests crash a
 * target again after it has ended, they are blocked at once and for longer. Entries exchange crashes, answers and blocks,
 * since each sees only its own requests.
 *
 * <pre>{@code
 * suspects.crashed(new TargetCrash(target, startedMillis, traits), nowNanos);
 * Optional<BlockedTrait> block = suspects.findBlock(traitsOfNextRequest, nowNanos);
 * }</pre>
 */
public final class CrashSuspects {
    /** Time in milliseconds for which requests with a blocked trait are refused the first time; it doubles each time. */
    public static final long BLOCK_MILLIS = 300_000;

    /** Maximum number of times that the duration of a block is doubled, which makes it almost a day. */
    private static final int MAX_DOUBLINGS = 8;

    /** Crashes that block a request, or a part of prompts that was in no answer; two may be a coincidence. */
    private static final int MIN_CRASHES = 3;

    /** Crashes that block a part which was in an answer before; sound parts of many prompts are suspected often. */
    private static final int MIN_CRASHES_AFTER_ANSWER = 6;

    /**
     * Crashes by which a trait that different requests share must exceed each of these requests. Otherwise the crashes of
     * one request would block others that have a part in common with it.
     */
    private static final int MIN_CRASHES_BEYOND_REQUEST = 2;

    /** Crashes up to which a decision between requests of the same crashes is put off; the next one may tell them apart. */
    private static final int MAX_CRASHES_OF_REQUEST_TIE = 5;

    /** The same for parts of prompts, of which more requests are affected by a wrong decision. */
    private static final int MAX_CRASHES_OF_PART_TIE = 8;

    /** Share of the unexplained crashes that a part must explain; other targets may crash for another reason. */
    private static final double MIN_EXPLAINED_SHARE = 0.5;

    /** Time in milliseconds after a crash in which the reports of other entries arrive, before it counts. */
    private static final long SETTLE_MILLIS = 100;

    /** Time in milliseconds for which a crash is remembered, and longer if a block needs it. */
    private static final long WINDOW_MILLIS = 600_000;

    private static final int MAX_CRASHES = 256;
    private static final int MAX_TRAITS_PER_CRASH = 128;
    /** Maximum number of blocks; the remembered crashes can cause fewer, as each block explains crashes of its own. */
    private static final int MAX_BLOCKS = 256;

    /** Number of traits of which the last answer is remembered, the latest ones. */
    private static final int MAX_ANSWERED_TRAITS = 4_096;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Map<TargetStart, Crash> crashes = new LinkedHashMap<>();
    private final Map<RequestTrait, Long> answeredNanos = new BoundedMap<>(MAX_ANSWERED_TRAITS);
    private final Map<RequestTrait, Block> blocks = new BoundedMap<>(MAX_BLOCKS);
    private OptionalLong nextDecisionNanos = OptionalLong.empty();

    /** Records a crash and returns whether it was unknown; reports of the same crash by several entries are merged. */
    public boolean crashed(TargetCrash report, long nowNanos) {
        removeExpired(nowNanos);
        TargetStart start = new TargetStart(report.target(), report.startedMillis());
        boolean isNew = !crashes.containsKey(start);
        Crash crash = crashes.computeIfAbsent(start, key -> new Crash(nowNanos));
        for (RequestTrait trait : report.traits()) {
            Long answered = answeredNanos.get(trait);
            boolean isSuspect = answered == null || crash.atNanos - answered > 0;
            if (isSuspect && crash.suspects.size() < MAX_TRAITS_PER_CRASH) {
                crash.suspects.add(trait);
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

    /** Returns whether answers matter: no request is suspected of a crash otherwise. */
    public boolean hasSuspects() {
        return !blocks.isEmpty() || crashes.values().stream().anyMatch(crash -> !crash.suspects.isEmpty());
    }

    /**
     * Records a complete answer to a request, which shows that its traits are sound.
     *
     * @return the traits that were suspected or blocked; other entries should know of their answer
     */
    public Set<RequestTrait> answered(Collection<RequestTrait> traits, long nowNanos) {
        Set<RequestTrait> cleared = new HashSet<>();
        for (RequestTrait trait : traits) {
            boolean wasSuspect = blocks.remove(trait) != null;
            for (Crash crash : crashes.values()) {
                wasSuspect |= crash.suspects.remove(trait);
            }
            if (wasSuspect) {
                cleared.add(trait);
            }
            // A part counts as answered for good, a single request only for reports of crashes that are still on the
            // way.
            if (wasSuspect || trait.kind() == Kind.PROMPT_PART) {
                answeredNanos.remove(trait);
                answeredNanos.put(trait, nowNanos);
            }
        }
        if (!cleared.isEmpty() && nextDecisionNanos.isEmpty()) {
            // Traits that were suspected equally may have been told apart.
            nextDecisionNanos = OptionalLong.of(nowNanos);
        }
        return cleared;
    }

    /** Records that another entry blocks a trait, unless the trait was in an answer since. */
    public void blockedElsewhere(BlockedTrait blocked, long nowNanos) {
        long sinceNanos = nowNanos - Math.max(0, blocked.ageMillis()) * NANOS_PER_MILLI;
        Long answered = answeredNanos.get(blocked.trait());
        boolean isRefuted = answered != null && answered - sinceNanos >= 0;
        long untilNanos = nowNanos + Math.min(blocked.remainingMillis(), maxBlockMillis()) * NANOS_PER_MILLI;
        if (!isRefuted && blocked.remainingMillis() > 0 && !isBlocked(blocked.trait(), nowNanos)) {
            blocks.put(blocked.trait(), new Block(sinceNanos, untilNanos, doublings(blocked.trait())));
        }
    }

    /** Returns whether any request may be refused, so that the traits of requests matter. */
    public boolean isRefusing(long nowNanos) {
        removeExpired(nowNanos);
        return nextDecisionNanos.isPresent() || blocks.values().stream().anyMatch(block -> block.isActive(nowNanos));
    }

    /**
     * Returns the trait because of which a request is refused, with the time for which it is; empty if the request may be
     * sent. A request is also refused while it is being decided whether targets crash under one of its traits.
     */
    public Optional<BlockedTrait> findBlock(Collection<RequestTrait> traits, long nowNanos) {
        removeExpired(nowNanos);
        Optional<BlockedTrait> longest = traits.stream()
                .filter(trait -> isBlocked(trait, nowNanos))
                .map(trait -> blocks.get(trait).describe(trait, nowNanos))
                .max(Comparator.comparingLong(BlockedTrait::remainingMillis));
        if (longest.isPresent() || nextDecisionNanos.isEmpty() || crashes.size() < MIN_CRASHES) {
            return longest;
        }
        return traits.stream()
                .filter(trait -> mayBeBlockedSoon(trait, nowNanos))
                .findFirst()
                .map(trait -> new BlockedTrait(trait, 0, SETTLE_MILLIS));
    }

    /** Returns whether requests with the trait are refused. */
    public boolean isBlocked(RequestTrait trait, long nowNanos) {
        Block block = blocks.get(trait);
        return block != null && block.isActive(nowNanos);
    }

    /** Returns the blocked traits. */
    public List<BlockedTrait> blocked(long nowNanos) {
        removeExpired(nowNanos);
        List<BlockedTrait> blocked = new ArrayList<>();
        blocks.forEach((trait, block) -> {
            if (block.isActive(nowNanos)) {
                blocked.add(block.describe(trait, nowNanos));
            }
        });
        return blocked;
    }

    /** Blocks the traits that explain the crashes which were recorded long enough ago, and returns them. */
    public List<RequestTrait> decide(long nowNanos) {
        if (nextDecisionNanos.isEmpty() || nowNanos - nextDecisionNanos.getAsLong() < 0) {
            return List.of();
        }
        List<RequestTrait> newlyBlocked = new ArrayList<>();
        for (List<RequestTrait> found = findCulprits(nowNanos); !found.isEmpty(); found = findCulprits(nowNanos)) {
            for (RequestTrait trait : found) {
                block(trait, nowNanos);
                newlyBlocked.add(trait);
            }
        }
        nextDecisionNanos = crashes.values().stream()
                .mapToLong(crash -> crash.atNanos + SETTLE_MILLIS * NANOS_PER_MILLI)
                .filter(settled -> settled - nowNanos > 0)
                .min();
        return newlyBlocked;
    }

    /** Returns the number of remembered crashes that no blocked trait explains. */
    public int unexplainedCrashes(long nowNanos) {
        return (int) crashes.values().stream()
                .filter(crash -> !isExplained(crash, Kind.REQUEST, nowNanos))
                .count();
    }

    private void block(RequestTrait trait, long nowNanos) {
        int doublings = doublings(trait);
        long durationMillis = BLOCK_MILLIS << doublings;
        blocks.remove(trait);
        blocks.put(trait, new Block(nowNanos, nowNanos + durationMillis * NANOS_PER_MILLI, doublings));
    }

    private int doublings(RequestTrait trait) {
        Block former = blocks.get(trait);
        return former == null ? 0 : Math.min(MAX_DOUBLINGS, former.doublings + 1);
    }

    private static long maxBlockMillis() {
        return BLOCK_MILLIS << MAX_DOUBLINGS;
    }

    private List<RequestTrait> findCulprits(long nowNanos) {
        List<RequestTrait> requests = findRequests(Kind.REQUEST, nowNanos);
        if (!requests.isEmpty()) {
            return requests;
        }
        List<RequestTrait> paths = findRequests(Kind.PATH, nowNanos);
        return paths.isEmpty() ? findParts(nowNanos) : paths;
    }

    /**
     * Returns requests that explain enough crashes, and more than any other request of the same crashes. Between equal
     * ones the decision waits for more crashes, up to a maximum.
     */
    private List<RequestTrait> findRequests(Kind kind, long nowNanos) {
        Map<RequestTrait, Set<Crash>> suspected = suspected(kind, nowNanos);
        suspected.values().removeIf(explained -> explained.size() < MIN_CRASHES);
        List<RequestTrait> culprits = new ArrayList<>();
        suspected.forEach((trait, explained) -> {
            boolean isOutdone = suspected.entrySet().stream()
                    .anyMatch(other -> !other.getKey().equals(trait)
                            && isAtLeastAsSuspect(other.getValue(), explained)
                            && (other.getValue().size() > explained.size()
                                    || explained.size() < MAX_CRASHES_OF_REQUEST_TIE));
            if (!isOutdone && exceedsMoreSpecific(trait, explained)) {
                culprits.add(trait);
            }
        });
        return culprits;
    }

    /** Returns whether a trait with the first set of crashes may explain crashes of the second set instead. */
    private static boolean isAtLeastAsSuspect(Set<Crash> other, Set<Crash> explained) {
        return other.size() >= explained.size() && explained.stream().anyMatch(other::contains);
    }

    private List<RequestTrait> findParts(long nowNanos) {
        Map<RequestTrait, Set<Crash>> suspected = suspected(Kind.PROMPT_PART, nowNanos);
        long unexplained = crashes.values().stream()
                .filter(crash -> counts(crash, Kind.PROMPT_PART, nowNanos))
                .count();
        int most = 0;
        List<RequestTrait> culprits = new ArrayList<>();
        for (Map.Entry<RequestTrait, Set<Crash>> entry : suspected.entrySet()) {
            int needed = answeredNanos.containsKey(entry.getKey()) ? MIN_CRASHES_AFTER_ANSWER : MIN_CRASHES;
            int count = entry.getValue().size();
            if (count < needed
                    || count < unexplained * MIN_EXPLAINED_SHARE
                    || count < most
                    || !exceedsMoreSpecific(entry.getKey(), entry.getValue())) {
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
        return culprits.size() > 1 && most < MAX_CRASHES_OF_PART_TIE ? List.of() : culprits;
    }

    /** Returns whether a trait explains clearly more crashes than each more specific trait of the same requests. */
    private static boolean exceedsMoreSpecific(RequestTrait trait, Set<Crash> explained) {
        Map<RequestTrait, Integer> counts = new HashMap<>();
        for (Crash crash : explained) {
            for (RequestTrait other : crash.suspects) {
                if (other.kind().compareTo(trait.kind()) < 0) {
                    counts.merge(other, 1, Integer::sum);
                }
            }
        }
        int most = counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        return most == 0 || explained.size() >= most + MIN_CRASHES_BEYOND_REQUEST;
    }

    /** Returns the suspected traits of one kind with the crashes that each of them would explain. */
    private Map<RequestTrait, Set<Crash>> suspected(Kind kind, long nowNanos) {
        Map<RequestTrait, Set<Crash>> suspected = new HashMap<>();
        for (Crash crash : crashes.values()) {
            if (!counts(crash, kind, nowNanos)) {
                continue;
            }
            for (RequestTrait trait : crash.suspects) {
                if (trait.kind() == kind) {
                    suspected.computeIfAbsent(trait, key -> new HashSet<>()).add(crash);
                }
            }
        }
        return suspected;
    }

    /** Returns whether a crash has been reported by all entries, and is not explained by a block of the kind. */
    private boolean counts(Crash crash, Kind kind, long nowNanos) {
        return nowNanos - crash.atNanos >= SETTLE_MILLIS * NANOS_PER_MILLI && !isExplained(crash, kind, nowNanos);
    }

    /** Returns whether a trait would explain enough crashes if those counted that other entries may still report. */
    private boolean mayBeBlockedSoon(RequestTrait trait, long nowNanos) {
        if (isKnownSound(trait)) {
            return false;
        }
        Set<Crash> explained = crashes.values().stream()
                .filter(crash -> crash.suspects.contains(trait) && !isExplained(crash, trait.kind(), nowNanos))
                .collect(Collectors.toSet());
        return explained.size() >= MIN_CRASHES && exceedsMoreSpecific(trait, explained);
    }

    /** Returns whether a blocked trait of the given kind or of a less specific one explains a crash. */
    private boolean isExplained(Crash crash, Kind kind, long nowNanos) {
        return crash.suspects.stream()
                .anyMatch(trait -> trait.kind().compareTo(kind) >= 0 && isBlocked(trait, nowNanos));
    }

    /** Returns whether a part was in an answer; a crash is then no reason to hold its prompts back. */
    private boolean isKnownSound(RequestTrait trait) {
        return trait.kind() == Kind.PROMPT_PART && answeredNanos.containsKey(trait);
    }

    private void removeExpired(long nowNanos) {
        long windowNanos = WINDOW_MILLIS * NANOS_PER_MILLI;
        blocks.values().removeIf(block -> nowNanos - block.untilNanos > windowNanos);
        crashes.values()
                .removeIf(crash -> nowNanos - crash.atNanos > windowNanos
                        && crash.suspects.stream().noneMatch(blocks::containsKey));
    }

    /**
     * One process lifetime of a target.
     *
     * @param target id of the target
     * @param startedMillis Unix time of its start in milliseconds
     */
    private record TargetStart(InstanceId target, long startedMillis) {}

    /** Crash with the traits that are suspected of it. */
    private static final class Crash {
        private final long atNanos;
        private final Set<RequestTrait> suspects = new HashSet<>();

        private Crash(long atNanos) {
            this.atNanos = atNanos;
        }
    }

    /**
     * Block of a trait; kept for a while after its end.
     *
     * @param sinceNanos time in nanoseconds at which it was blocked
     * @param untilNanos time in nanoseconds at which the block ends
     * @param doublings number of times that the duration has been doubled
     */
    private record Block(long sinceNanos, long untilNanos, int doublings) {
        private boolean isActive(long nowNanos) {
            return untilNanos - nowNanos > 0;
        }

        private BlockedTrait describe(RequestTrait trait, long nowNanos) {
            return new BlockedTrait(
                    trait, (nowNanos - sinceNanos) / NANOS_PER_MILLI, (untilNanos - nowNanos) / NANOS_PER_MILLI);
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
