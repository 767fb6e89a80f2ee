package io.endiveshed.standins;

import io.endiveshed.base.time.Scheduler;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Scheduler whose virtual clock advances only on request, for deterministic tests. Not thread-safe. Timers that are due
 * at the same time run in the order in which they were scheduled.
 *
 * <pre>{@code
 * VirtualScheduler scheduler = new VirtualScheduler();
 * scheduler.schedule(Duration.ofSeconds(5), action);
 * scheduler.advance(Duration.ofSeconds(5)); // runs the action
 * }</pre>
 */
public final class VirtualScheduler implements Scheduler {
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueNanos).thenComparingLong(Timer::sequence));
    private long nowNanos;
    private long nextSequence;

    @Override
    public long nanoTime() {
        return nowNanos;
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        timers.add(new Timer(nowNanos + Math.max(0, delay.toNanos()), nextSequence++, action));
    }

    /** Advances the clock and runs every timer that becomes due, including timers scheduled by these timers. */
    public void advance(Duration duration) {
        long endNanos = nowNanos + duration.toNanos();
        while (!timers.isEmpty() && timers.peek().dueNanos() <= endNanos) {
            Timer timer = timers.remove();
            nowNanos = timer.dueNanos();
            timer.action().run();
        }
        nowNanos = endNanos;
    }

    private record Timer(long dueNanos, long sequence, Runnable action) {}
}
