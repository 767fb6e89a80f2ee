package io.endiveshed.base.time;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Scheduler in real time that runs actions on an executor, such as a group of event loops. Actions that are scheduled
 * after the executor has shut down are discarded without an error.
 */
public final class ExecutorScheduler implements Scheduler {
    private final ScheduledExecutorService executor;

    /** Creates a scheduler on an executor; the caller remains responsible for shutting the executor down. */
    public ExecutorScheduler(ScheduledExecutorService executor) {
        this.executor = Objects.requireNonNull(executor);
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        try {
            executor.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            if (!executor.isShutdown()) {
                throw e;
            }
        }
    }
}
