package io.endiveshed.coordination.claim;

import java.time.Duration;
import java.util.PriorityQueue;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;

/** Clock and timers that advance from task to task. */
final class VirtualTime implements Timers, EpochClock, NanoClock {
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowNanos;
    private long sequence;

    private record Task(long atNanos, long sequence, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    @Override
    public void after(Duration delay, Runnable task) {
        tasks.add(new Task(nowNanos + delay.toNanos(), sequence++, task));
    }

    void afterMillis(long millis, Runnable task) {
        after(Duration.ofMillis(millis), task);
    }

    /** Runs all tasks that are due within a duration from now. */
    void run(Duration duration) {
        long end = nowNanos + duration.toNanos();
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= end) {
            Task next = tasks.poll();
            nowNanos = next.atNanos();
            next.action().run();
        }
        nowNanos = end;
    }

    @Override
    public long time() {
        return nowNanos / 1_000_000;
    }

    @Override
    public long nanoTime() {
        return nowNanos;
    }
}
