package io.endiveshed.coordination.crash;

import io.endiveshed.coordination.crash.RequestTrait.Kind;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds the traits of requests that explain a number of crashes. Has no state beyond one decision.
 *
 * <p>Each crash comes with the traits that are suspected of it. A whole request is a culprit if it explains enough
 * crashes and more than any other request of the same crashes; those crashes then make no other request a culprit. A
 * trait that different requests share is a culprit only if it explains clearly more crashes than each of them.
 */
final class CrashAttribution {
    /** Crashes that a request, or a part of prompts, must explain if it was in no answer; two may be a coincidence. */
    static final int MIN_CRASHES = 3;

    /** Crashes that a request must explain which was answered before; sound ones that come often are suspected often. */
    private static final int MIN_CRASHES_OF_ANSWERED_REQUEST = 5;

    /** The same for parts of prompts, of which more requests are affected by a wrong decision. */
    private static final int MIN_CRASHES_OF_ANSWERED_PART = 6;

    /**
     * Crashes by which a trait that different requests share must exceed each of these requests. Otherwise the crashes of
     * one request would count against others that have a part in common with it.
     */
    private static final int MIN_CRASHES_BEYOND_REQUEST = 2;

    /** Crashes from which requests of the same crashes are all certain culprits. */
    private static final int MAX_CRASHES_OF_REQUEST_TIE = 5;

    /**
     * Crashes up to which a decision between parts of the same crashes is put off, as the next one may tell them apart, and
     * up to which no part is a culprit as long as no prompt was answered: a part that all prompts share is in all crashes.
     */
    private static final int MAX_CRASHES_OF_PART_TIE = 8;

    /** Share of the crashes that a part must explain; other targets may crash for another reason. */
    private static final double MIN_EXPLAINED_SHARE = 0.5;

    private final List<Set<RequestTrait>> crashes;
    private final Predicate<RequestTrait> wasAnswered;
    private final boolean isAnyPromptAnswered;
    private final Set<RequestTrait> certain = new LinkedHashSet<>();
    private final Set<RequestTrait> ambiguous = new LinkedHashSet<>();

    private CrashAttribution(
            List<Set<RequestTrait>> crashes, Predicate<RequestTrait> wasAnswered, boolean isAnyPromptAnswered) {
        this.crashes = crashes;
        this.wasAnswered = wasAnswered;
        this.isAnyPromptAnswered = isAnyPromptAnswered;
    }

    /**
     * Finds the culprits of crashes.
     *
     * @param crashes traits that are suspected of each crash
     * @param wasAnswered whether a request with the trait was answered before
     * @param isAnyPromptAnswered whether any prompt was answered before
     * @param isKnownCulprit whether a part is known to be a culprit, so that its crashes count against no other part
     */
    static Culprits find(
            List<Set<RequestTrait>> crashes,
            Predicate<RequestTrait> wasAnswered,
            boolean isAnyPromptAnswered,
            Predicate<RequestTrait> isKnownCulprit) {
        CrashAttribution attribution = new CrashAttribution(crashes, wasAnswered, isAnyPromptAnswered);
        attribution.addRequests(Kind.REQUEST);
        attribution.addRequests(Kind.PATH);
        BitSet explained = new BitSet();
        for (int i = 0; i < crashes.size(); i++) {
            boolean isExplained = crashes.get(i).stream()
                    .anyMatch(trait -> trait.kind() == Kind.PROMPT_PART && isKnownCulprit.test(trait));
            explained.set(i, isExplained);
        }
        attribution.addParts(explained);
        return new Culprits(attribution.certain, attribution.ambiguous);
    }

    private void addRequests(Kind kind) {
        Map<RequestTrait, BitSet> suspected = suspected(kind, new BitSet());
        suspected.entrySet().removeIf(entry -> !exceedsMoreSpecific(entry.getKey(), entry.getValue()));
        while (true) {
            suspected.entrySet().removeIf(entry -> entry.getValue().cardinality() < minCrashes(entry.getKey()));
            int most = suspected.values().stream()
                    .mapToInt(BitSet::cardinality)
                    .max()
                    .orElse(0);
            if (most == 0) {
                return;
            }
            List<RequestTrait> equals = withoutAnswered(equallySuspected(suspected, most));
            boolean isCertain = equals.size() == 1 || most >= MAX_CRASHES_OF_REQUEST_TIE;
            (isCertain ? certain : ambiguous).addAll(equals);
            BitSet explained = new BitSet();
            equals.forEach(trait -> explained.or(suspected.get(trait)));
            suspected.keySet().removeAll(equals);
            suspected.values().forEach(crashesOfTrait -> crashesOfTrait.andNot(explained));
        }
    }

    /** Returns a trait of the given number of crashes and all traits of as many that have crashes in common with it. */
    private static List<RequestTrait> equallySuspected(Map<RequestTrait, BitSet> suspected, int most) {
        List<RequestTrait> equals = new ArrayList<>();
        BitSet first = null;
        for (Map.Entry<RequestTrait, BitSet> entry : suspected.entrySet()) {
            if (entry.getValue().cardinality() == most
                    && (first == null || entry.getValue().intersects(first))) {
                first = first == null ? entry.getValue() : first;
                equals.add(entry.getKey());
            }
        }
        return equals;
    }

    private int minCrashes(RequestTrait trait) {
        return wasAnswered.test(trait) ? MIN_CRASHES_OF_ANSWERED_REQUEST : MIN_CRASHES;
    }

    private void addParts(BitSet explained) {
        int unexplained = crashes.size() - explained.cardinality();
        int most = 0;
        List<RequestTrait> culprits = new ArrayList<>();
        for (Map.Entry<RequestTrait, BitSet> entry :
                suspected(Kind.PROMPT_PART, explained).entrySet()) {
            int count = entry.getValue().cardinality();
            if (count < minCrashesOfPart(entry.getKey())
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
        List<RequestTrait> unanswered = withoutAnswered(culprits);
        if (unanswered.size() == 1 || most >= MAX_CRASHES_OF_PART_TIE) {
            certain.addAll(unanswered);
        }
    }

    private int minCrashesOfPart(RequestTrait part) {
        if (wasAnswered.test(part)) {
            return MIN_CRASHES_OF_ANSWERED_PART;
        }
        return isAnyPromptAnswered ? MIN_CRASHES : MAX_CRASHES_OF_PART_TIE;
    }

    /** Returns those of equally suspected traits that were never in an answer, unless all of them were. */
    private List<RequestTrait> withoutAnswered(List<RequestTrait> equals) {
        List<RequestTrait> unanswered =
                equals.stream().filter(trait -> !wasAnswered.test(trait)).toList();
        return unanswered.isEmpty() ? equals : unanswered;
    }

    /** Returns whether a trait explains clearly more crashes than each more specific trait of the same requests. */
    private boolean exceedsMoreSpecific(RequestTrait trait, BitSet explained) {
        Map<RequestTrait, Integer> counts = new HashMap<>();
        explained.stream()
                .forEach(crash -> crashes.get(crash).stream()
                        .filter(other -> other.kind().compareTo(trait.kind()) < 0)
                        .forEach(other -> counts.merge(other, 1, Integer::sum)));
        int most = counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        return most == 0 || explained.cardinality() >= most + MIN_CRASHES_BEYOND_REQUEST;
    }

    /** Returns the suspected traits of one kind with the numbers of the crashes that each of them would explain. */
    private Map<RequestTrait, BitSet> suspected(Kind kind, BitSet explained) {
        Map<RequestTrait, BitSet> suspected = new LinkedHashMap<>();
        for (int i = explained.nextClearBit(0); i < crashes.size(); i = explained.nextClearBit(i + 1)) {
            for (RequestTrait trait : crashes.get(i)) {
                if (trait.kind() == kind) {
                    suspected.computeIfAbsent(trait, key -> new BitSet()).set(i);
                }
            }
        }
        return suspected;
    }

    /**
     * Result of a decision.
     *
     * @param certain traits that explain crashes better than all others
     * @param ambiguous requests of the same crashes, of which one or more are at fault
     */
    record Culprits(Set<RequestTrait> certain, Set<RequestTrait> ambiguous) {
        static final Culprits NONE = new Culprits(Set.of(), Set.of());

        boolean contains(RequestTrait trait) {
            return certain.contains(trait) || ambiguous.contains(trait);
        }
    }
}
