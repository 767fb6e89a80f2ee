package io.endiveshed.coordination.sharing;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.freshness.ClockReading;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Keeps whom an entry asks to read the store for it, and who asks this one. Confined to one thread.
 *
 * <p>An entry reads for others while they ask it, so no agreement on the readers is needed. Each question has a random
 * number that its answer repeats; an answer without the number of a recent question to the same entry is ignored.
 */
public final class SharingPeers {
    /** Fewest entries that must ask before an entry calls the store more often for them than for itself. */
    public static final int MIN_ASKERS = ReaderRanking.MIN_ENTRIES - 1;

    /** Time in milliseconds after which a question no longer counts; three are sent meanwhile. */
    private static final long QUESTION_TIMEOUT_MILLIS = 1_600;

    /**
     * Time in milliseconds without an answer after which another reader is asked. A reader whose watch is lost answers
     * again after 1.4 s.
     */
    private static final long ANSWER_TIMEOUT_MILLIS = 2_000;

    /** Time in milliseconds for which a reader that did not answer is not asked. */
    private static final long AVOIDANCE_MILLIS = 5_000;

    /** Maximum number of questions to one entry that may still be answered. */
    private static final int MAX_OPEN_QUESTIONS = 4;

    private final InstanceId self;
    private final FailureDomain domain;
    private final LongSupplier randomNumbers;
    private final Map<InstanceId, Reader> readers = new HashMap<>();
    private final Map<InstanceId, ClockReading> avoided = new HashMap<>();
    private final Map<InstanceId, Question> askers = new HashMap<>();

    /** Creates an empty set; the numbers must not be predictable by other processes. */
    public SharingPeers(InstanceId self, FailureDomain domain, LongSupplier randomNumbers) {
        this.self = self;
        this.domain = domain;
        this.randomNumbers = randomNumbers;
    }

    /**
     * Returns the questions to send now.
     *
     * @param reachable other entries of the failure domain from which a heartbeat was received recently
     * @param canReadStore whether the store answers this entry
     */
    public List<Question> questions(Collection<InstanceId> reachable, boolean canReadStore, ClockReading now) {
        avoided.values().removeIf(since -> since.millisUntil(now) > AVOIDANCE_MILLIS);
        readers.forEach((entry, reader) -> {
            if (reader.waiting.millisUntil(now) > ANSWER_TIMEOUT_MILLIS) {
                avoided.put(entry, now);
            }
        });
        List<InstanceId> candidates = new ArrayList<>(reachable);
        candidates.removeAll(avoided.keySet());
        if (canReadStore) {
            candidates.add(self);
        }
        List<InstanceId> chosen = ReaderRanking.readers(domain, candidates);
        readers.keySet().retainAll(chosen);
        if (chosen.contains(self)) {
            readers.clear();
            return List.of();
        }
        return chosen.stream().map(entry -> ask(entry, now)).toList();
    }

    private Question ask(InstanceId entry, ClockReading now) {
        Question question = new Question(entry, randomNumbers.getAsLong(), now);
        Deque<Question> open = readers.computeIfAbsent(entry, key -> new Reader(now)).open;
        open.addLast(question);
        if (open.size() > MAX_OPEN_QUESTIONS) {
            open.removeFirst();
        }
        return question;
    }

    /** Returns when the question was sent that an entry has answered; empty if there was none. */
    public Optional<ClockReading> answered(InstanceId entry, long number, ClockReading now) {
        Reader reader = readers.get(entry);
        Optional<ClockReading> asked = reader == null
                ? Optional.empty()
                : reader.open.stream()
                        .filter(question -> question.number == number)
                        .map(Question::sent)
                        .findFirst();
        asked.ifPresent(time -> reader.waiting = now);
        return asked;
    }

    /** Records a question of another entry; returns whether this entry now reads for others and did not before. */
    public boolean askedBy(InstanceId entry, long number, ClockReading now) {
        boolean wasReader = isReader(now);
        askers.put(entry, new Question(entry, number, now));
        return !wasReader && isReader(now);
    }

    /** Returns the last question of each entry that has asked recently. */
    public Collection<Question> askers(ClockReading now) {
        askers.values().removeIf(question -> question.sent.millisUntil(now) > QUESTION_TIMEOUT_MILLIS);
        return askers.values();
    }

    /** Returns whether enough entries have asked recently that this one reads for them. */
    public boolean isReader(ClockReading now) {
        return askers(now).size() >= MIN_ASKERS;
    }

    /**
     * A question for the state of the store.
     *
     * @param entry the other entry
     * @param number number that the answer repeats
     * @param sent time at which it was sent or received here
     */
    public record Question(InstanceId entry, long number, ClockReading sent) {}

    /** An entry that is asked. */
    private static final class Reader {
        private final Deque<Question> open = new ArrayDeque<>();

        /** Time of the last answer, or of the first question. */
        private ClockReading waiting;

        private Reader(ClockReading firstAsked) {
            waiting = firstAsked;
        }
    }
}
