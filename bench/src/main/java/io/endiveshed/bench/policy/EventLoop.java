package io.endiveshed.bench.policy;

import java.util.PriorityQueue;

/** Runs events in the order of their virtual time; events of the same time run in the order in which they were added. */
final class EventLoop {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowNanos;
    private long sequence;

    /** Returns the virtual time in nanoseconds. */
    long now() {
        return nowNanos;
    }

    /** Runs an action after a delay in nanoseconds. */
    void after(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + Math.max(0, delayNanos), sequence++, action));
    }

    /** Runs an action now and then at every interval in nanoseconds. */
    void every(long intervalNanos, Runnable action) {
        action.run();
        after(intervalNanos, () -> every(intervalNanos, action));
    }

    /** Runs all events up to a virtual time in nanoseconds. */
    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().timeNanos <= endNanos) {
            Event event = events.poll();
            nowNanos = event.timeNanos;
            event.action.run();
        }
        nowNanos = endNanos;
    }

    private record Event(long timeNanos, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(timeNanos, other.timeNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
