package io.endiveshed.base.time;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Timers of an executor in real time, such as a group of event loops; timers end silently when it has shut down. */
public final class ExecutorScheduler implements Scheduler {
    private final ScheduledExecutorService executor;

    /** Uses the threads of an executor, which the caller stops. */
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
