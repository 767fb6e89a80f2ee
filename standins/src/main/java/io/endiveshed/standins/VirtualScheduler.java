package io.endiveshed.standins;

import io.endiveshed.base.time.Scheduler;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Time that advances only when a test says so. One thread only; timers of the same time run in the order of their
 * scheduling.
 *
 * <pre>{@code
 * VirtualScheduler time = new VirtualScheduler();
 * time.schedule(Duration.ofSeconds(5), action);
 * time.advance(Duration.ofSeconds(5)); // runs the action
 * }</pre>
 */
public final class VirtualScheduler implements Scheduler {
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::due).thenComparingLong(Timer::sequence));
    private long now;
    private long sequence;

    @Override
    public long nanoTime() {
        return now;
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        timers.add(new Timer(now + Math.max(0, delay.toNanos()), sequence++, action));
    }

    /** Advances the time and runs all timers that become due, including those that they schedule. */
    public void advance(Duration duration) {
        long end = now + duration.toNanos();
        while (!timers.isEmpty() && timers.peek().due() <= end) {
            Timer timer = timers.remove();
            now = timer.due();
            timer.action().run();
        }
        now = end;
    }

    private record Timer(long due, long sequence, Runnable action) {}
}
