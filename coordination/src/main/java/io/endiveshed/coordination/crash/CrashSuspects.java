package io.endiveshed.coordination.crash;

import io.endiveshed.coordination.crash.CrashAttribution.Culprits;
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
import java.util.TreeSet;
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
 *   <li>the traits that explain the crashes best are blocked, see {@link CrashAttribution}; requests that explain them
 *       equally well are all blocked, but only for a short time.
 * </ul>
 *
 * <p>A block ends after some minutes, as soon as an answer shows that the trait is sound, or as soon as another request
 * turns out to explain its crashes. If the requests crash a target again after it has ended, they are blocked at once and
 * for longer. Entries exchange crashes, answers and blocks, since each sees only its own requests.
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

    /** Duration in milliseconds of a block of requests of the same crashes, of which only some may be at fault. */
    private static final long AMBIGUOUS_BLOCK_MILLIS = 60_000;

    /** Time in milliseconds after a crash in which the reports of other entries arrive, before it counts. */
    private static final long SETTLE_MILLIS = 100;

    /** Time in milliseconds for which a crash is remembered, and longer if a block needs it. */
    static final long WINDOW_MILLIS = 600_000;

    private static final int MAX_CRASHES = 256;
    private static final int MAX_TRAITS_PER_CRASH = 128;
    /** Maximum number of blocks; the remembered crashes can cause fewer, as each block explains crashes of its own. */
    private static final int MAX_BLOCKS = 256;

    /**
     * Time in milliseconds for which a block of another entry holds after the last heartbeat that named it. The entry may
     * have lifted it.
     */
    private static final long MAX_FOREIGN_BLOCK_MILLIS = 5_000;

    /** Number of traits of which the last answer is remembered, the latest ones. */
    private static final int MAX_ANSWERED_TRAITS = 8_192;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Map<TargetStart, Crash> crashes = new LinkedHashMap<>();
    private final Map<RequestTrait, Long> answeredNanos = new BoundedMap<>(MAX_ANSWERED_TRAITS);
    private final Map<RequestTrait, Block> blocks = new BoundedMap<>(MAX_BLOCKS);
    private OptionalLong nextDecisionNanos = OptionalLong.empty();
    private Culprits likelyCulprits = Culprits.NONE;
    private boolean areCulpritsOutdated;
    private boolean isAnyPromptAnswered;

    /** Records a crash of this moment; see {@link #crashed(TargetCrash, long, long)}. */
    public boolean crashed(TargetCrash report, long nowNanos) {
        return crashed(report, nowNanos, nowNanos);
    }

    /**
     * Records a crash and returns whether it was unknown; reports of the same crash by several entries are merged.
     *
     * @param report the crash
     * @param atNanos time at which it was seen
     * @param nowNanos current time
     */
    public boolean crashed(TargetCrash report, long atNanos, long nowNanos) {
        removeExpired(nowNanos);
        TargetStart start = TargetStart.of(report);
        boolean isNew = !crashes.containsKey(start);
        Crash crash = crashes.computeIfAbsent(start, key -> new Crash(atNanos));
        for (RequestTrait trait : new TreeSet<>(report.traits())) {
            Long answered = answeredNanos.get(trait);
            boolean isSuspect = answered == null || crash.atNanos - answered > 0;
            if (isSuspect && crash.suspects.size() < MAX_TRAITS_PER_CRASH) {
                crash.suspects.add(trait);
            }
        }
        if (crashes.size() > MAX_CRASHES) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        areCulpritsOutdated = true;
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
     * Records a complete answer to a request, which shows that its traits are not to blame for earlier crashes.
     *
     * @param traits traits of the request
     * @param atNanos time of the answer
     * @return the traits that were suspected or blocked; other entries should know of their answer
     */
    public Set<RequestTrait> answered(Collection<RequestTrait> traits, long atNanos) {
        Set<RequestTrait> cleared = new HashSet<>();
        for (RequestTrait trait : traits) {
            Block block = blocks.get(trait);
            boolean isRefuted = block != null && (atNanos - block.sinceNanos >= 0 || isAfterCrashesOf(trait, atNanos));
            boolean wasSuspect = isRefuted && blocks.remove(trait) != null;
            for (Crash crash : crashes.values()) {
                wasSuspect |= atNanos - crash.atNanos >= 0 && crash.suspects.remove(trait);
            }
            if (wasSuspect) {
                cleared.add(trait);
            }
            isAnyPromptAnswered |= trait.kind() == Kind.PROMPT_PART;
            Long before = answeredNanos.remove(trait);
            answeredNanos.put(trait, before == null || atNanos - before > 0 ? atNanos : before);
        }
        areCulpritsOutdated |= !cleared.isEmpty();
        if (!cleared.isEmpty() && nextDecisionNanos.isEmpty()) {
            // Traits that were suspected equally may have been told apart.
            nextDecisionNanos = OptionalLong.of(atNanos);
        }
        return cleared;
    }

    /** Records answers to other entries, which may be older than the crashes of which their traits are suspected. */
    public void answeredElsewhere(Collection<AnsweredTrait> answers, long nowNanos) {
        for (AnsweredTrait answer : answers) {
            answered(List.of(answer.trait()), nowNanos - Math.max(0, answer.ageMillis()) * NANOS_PER_MILLI);
        }
    }

    /**
     * Returns those traits that were answered to this entry before they became suspect of two crashes or more. Entries that
     * have not seen an answer would block them after fewer crashes.
     */
    public List<AnsweredTrait> answersBeforeCrashes(Collection<RequestTrait> traits, long nowNanos) {
        return traits.stream()
                .filter(trait -> trait.kind() != Kind.PROMPT_PART
                        && answeredNanos.containsKey(trait)
                        && suspectedCrashes(trait) > 1)
                .map(trait -> new AnsweredTrait(trait, (nowNanos - answeredNanos.get(trait)) / NANOS_PER_MILLI))
                .toList();
    }

    /** Records that another entry blocks a trait, unless the trait was in an answer since or does not explain crashes. */
    public void blockedElsewhere(BlockedTrait blocked, long nowNanos) {
        long sinceNanos = nowNanos - Math.max(0, blocked.ageMillis()) * NANOS_PER_MILLI;
        Long answered = answeredNanos.get(blocked.trait());
        // A part that most prompts share is in most crashes; an entry that has seen answers to it knows better.
        boolean isKnownSound = blocked.trait().kind() == Kind.PROMPT_PART && answered != null;
        boolean isRefuted = isKnownSound || (answered != null && answered - sinceNanos >= 0);
        long untilNanos = nowNanos + Math.min(blocked.remainingMillis(), MAX_FOREIGN_BLOCK_MILLIS) * NANOS_PER_MILLI;
        Block known = blocks.get(blocked.trait());
        boolean isLonger = known == null || untilNanos - known.untilNanos > 0;
        if (!isRefuted && isLonger && blocked.remainingMillis() > 0 && !isOutdone(blocked.trait())) {
            int doublings = known == null ? 0 : known.doublings;
            blocks.put(blocked.trait(), new Block(sinceNanos, untilNanos, doublings, Source.OTHER_ENTRY));
        }
    }

    /** Returns whether any request may be refused, so that the traits of requests matter. */
    public boolean isRefusing(long nowNanos) {
        removeExpired(nowNanos);
        return nextDecisionNanos.isPresent() || blocks.values().stream().anyMatch(block -> block.isActive(nowNanos));
    }

    /**
     * Returns the trait because of which a request is refused, with the time for which it is; empty if the request may be
     * sent. While a decision is pending, requests that it will probably block are refused as well.
     */
    public Optional<BlockedTrait> findBlock(Collection<RequestTrait> traits, long nowNanos) {
        removeExpired(nowNanos);
        Optional<BlockedTrait> longest = traits.stream()
                .filter(trait -> isBlocked(trait, nowNanos))
                .map(trait -> blocks.get(trait).describe(trait, nowNanos))
                .max(Comparator.comparingLong(BlockedTrait::remainingMillis));
        if (longest.isPresent() || nextDecisionNanos.isEmpty() || crashes.size() < CrashAttribution.MIN_CRASHES) {
            return longest;
        }
        return traits.stream()
                .filter(trait -> likelyCulprits().contains(trait) && isHeldBack(trait))
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

    /**
     * Blocks the traits that explain the crashes which were recorded long enough ago, and returns them. Lifts blocks of
     * traits whose crashes others explain.
     */
    public List<RequestTrait> decide(long nowNanos) {
        if (nextDecisionNanos.isEmpty() || nowNanos - nextDecisionNanos.getAsLong() < 0) {
            return List.of();
        }
        Culprits culprits = findCulprits(settledCrashes(nowNanos));
        List<RequestTrait> newlyBlocked = new ArrayList<>();
        culprits.certain().forEach(trait -> block(trait, Source.CERTAIN, nowNanos, newlyBlocked));
        culprits.ambiguous().forEach(trait -> block(trait, Source.AMBIGUOUS, nowNanos, newlyBlocked));
        blocks.keySet().removeIf(trait -> !culprits.contains(trait) && isOutdone(trait));
        nextDecisionNanos = crashes.values().stream()
                .mapToLong(crash -> crash.atNanos + SETTLE_MILLIS * NANOS_PER_MILLI)
                .filter(settled -> settled - nowNanos > 0)
                .min();
        return newlyBlocked;
    }

    /** Returns the traits that are suspected of a crash; empty if the crash is not remembered. */
    Set<RequestTrait> suspectsOf(TargetStart start) {
        Crash crash = crashes.get(start);
        return crash == null ? Set.of() : crash.suspects;
    }

    /** Returns the time in nanoseconds of the last answer to a request with the trait, as far as it is remembered. */
    OptionalLong answeredNanos(RequestTrait trait) {
        Long answered = answeredNanos.get(trait);
        return answered == null ? OptionalLong.empty() : OptionalLong.of(answered);
    }

    /** Returns the number of remembered crashes of which a trait is suspected. */
    int suspectedCrashes(RequestTrait trait) {
        return suspectedCrashesOf(trait).size();
    }

    /** Returns the number of remembered crashes that no blocked trait explains. */
    public int unexplainedCrashes(long nowNanos) {
        return (int) crashes.values().stream()
                .filter(crash -> crash.suspects.stream().noneMatch(trait -> isBlocked(trait, nowNanos)))
                .count();
    }

    /** Blocks a trait, unless it is blocked as surely already, or no target has crashed since its last block. */
    private void block(RequestTrait trait, Source source, long nowNanos, List<RequestTrait> newlyBlocked) {
        Block former = blocks.get(trait);
        boolean isAsSure = former != null && former.source.compareTo(source) >= 0;
        if (isAsSure && (former.isActive(nowNanos) || !hasCrashSince(trait, former.sinceNanos))) {
            return;
        }
        if (!isBlocked(trait, nowNanos)) {
            newlyBlocked.add(trait);
        }
        boolean isRepeated = former != null && former.source == Source.CERTAIN;
        int doublings = isRepeated ? Math.min(MAX_DOUBLINGS, former.doublings + 1) : 0;
        long durationMillis = source == Source.AMBIGUOUS ? AMBIGUOUS_BLOCK_MILLIS : BLOCK_MILLIS << doublings;
        blocks.remove(trait);
        blocks.put(trait, new Block(nowNanos, nowNanos + durationMillis * NANOS_PER_MILLI, doublings, source));
    }

    private boolean hasCrashSince(RequestTrait trait, long sinceNanos) {
        return suspectedCrashesOf(trait).stream().anyMatch(crash -> crash.atNanos - sinceNanos > 0);
    }

    private List<Set<RequestTrait>> settledCrashes(long nowNanos) {
        return crashes.values().stream()
                .filter(crash -> nowNanos - crash.atNanos >= SETTLE_MILLIS * NANOS_PER_MILLI)
                .map(crash -> crash.suspects)
                .toList();
    }

    private Culprits findCulprits(List<Set<RequestTrait>> suspectsOfCrashes) {
        return CrashAttribution.find(
                suspectsOfCrashes, answeredNanos::containsKey, isAnyPromptAnswered, blocks::containsKey);
    }

    /** Returns the traits that will be blocked unless reports of other entries change that. */
    private Culprits likelyCulprits() {
        if (areCulpritsOutdated) {
            likelyCulprits = findCulprits(
                    crashes.values().stream().map(crash -> crash.suspects).toList());
            areCulpritsOutdated = false;
        }
        return likelyCulprits;
    }

    /**
     * Returns whether requests with a likely culprit wait for the decision. A whole request waits only after one crash
     * more than a block needs, because sound requests of the same crashes are being retried meanwhile.
     */
    private boolean isHeldBack(RequestTrait trait) {
        return trait.kind() == Kind.PROMPT_PART
                ? !answeredNanos.containsKey(trait)
                : suspectedCrashes(trait) > CrashAttribution.MIN_CRASHES;
    }

    /**
     * Returns whether another trait of the same kind and of more crashes explains so many crashes of a trait that it would
     * not be blocked.
     */
    private boolean isOutdone(RequestTrait trait) {
        Set<Crash> own = suspectedCrashesOf(trait);
        Map<RequestTrait, Integer> shared = new HashMap<>();
        own.forEach(crash -> crash.suspects.forEach(other -> shared.merge(other, 1, Integer::sum)));
        return shared.entrySet().stream()
                .anyMatch(other -> other.getKey().kind() == trait.kind()
                        && suspectedCrashes(other.getKey()) > own.size()
                        && own.size() - other.getValue() < CrashAttribution.MIN_CRASHES);
    }

    /** Returns whether all crashes of which a trait is suspected were before the given time. */
    private boolean isAfterCrashesOf(RequestTrait trait, long atNanos) {
        Set<Crash> suspected = suspectedCrashesOf(trait);
        return !suspected.isEmpty() && suspected.stream().allMatch(crash -> atNanos - crash.atNanos >= 0);
    }

    private Set<Crash> suspectedCrashesOf(RequestTrait trait) {
        return crashes.values().stream()
                .filter(crash -> crash.suspects.contains(trait))
                .collect(Collectors.toSet());
    }

    private void removeExpired(long nowNanos) {
        long windowNanos = WINDOW_MILLIS * NANOS_PER_MILLI;
        blocks.values().removeIf(block -> nowNanos - block.untilNanos > windowNanos);
        crashes.values()
                .removeIf(crash -> nowNanos - crash.atNanos > windowNanos
                        && crash.suspects.stream().noneMatch(blocks::containsKey));
    }

    /** Crash with the traits that are suspected of it. */
    private static final class Crash {
        private final long atNanos;
        private final Set<RequestTrait> suspects = new TreeSet<>();

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
     * @param source how the block came about
     */
    private record Block(long sinceNanos, long untilNanos, int doublings, Source source) {
        private boolean isActive(long nowNanos) {
            return untilNanos - nowNanos > 0;
        }

        private BlockedTrait describe(RequestTrait trait, long nowNanos) {
            return new BlockedTrait(
                    trait, (nowNanos - sinceNanos) / NANOS_PER_MILLI, (untilNanos - nowNanos) / NANOS_PER_MILLI);
        }
    }

    /** Sources of blocks, the surest last. */
    private enum Source {
        /** Another entry blocks the trait. */
        OTHER_ENTRY,

        /** The crashes may as well be those of other requests. */
        AMBIGUOUS,

        /** The trait explains the crashes better than all others. */
        CERTAIN
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
