package io.endiveshed.verification.history;

import java.util.ArrayList;
import java.util.List;

/** What callers and targets have seen in one run, in the order of time. */
final class History {
    private final List<Event> events = new ArrayList<>();

    void add(Event event) {
        events.add(event);
    }

    List<Event> events() {
        return List.copyOf(events);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        events.forEach(event -> text.append(event).append('\n'));
        return text.toString();
    }

    /** How a caller's request ended. */
    enum Ending {
        /** The response had its end mark. */
        WHOLE,
        /** The response broke off. */
        TRUNCATED,
        /** A typed error came instead of a response. */
        ERROR,
        /** The caller went away, or its entry was killed. */
        DISCONNECTED
    }

    sealed interface Event {
        long atNanos();
    }

    /**
     * A request of a caller.
     *
     * @param key idempotency key, or empty
     * @param expected answer, or for a key the beginning of the answer
     */
    record Asked(long atNanos, String request, String key, String expected, long deadlineMillis) implements Event {}

    /** An execution at a target. */
    record Executed(long atNanos, String target, String request, String key) implements Event {}

    /** The end of a request as its caller sees it; the outcome is empty unless it is an error. */
    record Answered(long atNanos, String request, Ending ending, String outcome, String body) implements Event {
        @Override
        public String toString() {
            String shown = body.length() > 300 ? body.substring(0, 300) + "... " + body.length() : body;
            return "Answered[" + atNanos + ", " + request + ", " + ending + ", " + outcome + ", " + shown + "]";
        }
    }

    /** A fault that the schedule injected. */
    record Fault(long atNanos, String what) implements Event {}

    /** Something that a table or an engine still holds after the end of all faults. */
    record Leftover(long atNanos, String what) implements Event {}
}
