package io.endiveshed.verification.history;

import io.endiveshed.base.time.Scheduler;
import java.time.Duration;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.RunnableScheduledFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Executor whose clock jumps from one task to the next, so that a run depends on nothing but its seed. */
final class VirtualTime extends AbstractExecutorService implements ScheduledExecutorService, Scheduler {
    private final PriorityQueue<Task<?>> tasks = new PriorityQueue<>();
    private long now;
    private long order;

    @Override
    public long nanoTime() {
        return now;
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Runs all tasks that are due within the given time. */
    void advance(long duration, TimeUnit unit) {
        long end = now + unit.toNanos(duration);
        while (!tasks.isEmpty() && tasks.peek().dueNanos <= end) {
            Task<?> task = tasks.poll();
            now = Math.max(now, task.dueNanos);
            task.run();
        }
        now = end;
    }

    @Override
    public void execute(Runnable command) {
        schedule(command, 0, TimeUnit.NANOSECONDS);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        return add(new Task<>(command, now + Math.max(0, unit.toNanos(delay)), 0));
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        return add(new Task<>(callable, now + Math.max(0, unit.toNanos(delay))));
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initial, long period, TimeUnit unit) {
        return add(new Task<>(command, now + unit.toNanos(initial), unit.toNanos(period)));
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initial, long delay, TimeUnit unit) {
        return scheduleAtFixedRate(command, initial, delay, unit);
    }

    @Override
    public void shutdown() {
        tasks.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        shutdown();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }

    private <V> Task<V> add(Task<V> task) {
        tasks.add(task);
        return task;
    }

    /** A task with its due time; tasks due at the same time run in the order of submission. */
    private final class Task<V> extends FutureTask<V> implements RunnableScheduledFuture<V> {
        private final long periodNanos;
        private final long position = order++;
        private long dueNanos;

        Task(Runnable command, long dueNanos, long periodNanos) {
            super(command, null);
            this.dueNanos = dueNanos;
            this.periodNanos = periodNanos;
        }

        Task(Callable<V> callable, long dueNanos) {
            super(callable);
            this.dueNanos = dueNanos;
            this.periodNanos = 0;
        }

        @Override
        public void run() {
            if (!isPeriodic()) {
                super.run();
                rethrow();
            } else if (runAndReset()) {
                dueNanos += periodNanos;
                tasks.add(this);
            } else {
                rethrow();
            }
        }

        /** A failed task would otherwise go unnoticed, and a check after it would prove nothing. */
        private void rethrow() {
            if (isCancelled()) {
                return;
            }
            try {
                get();
            } catch (InterruptedException e) {
                throw new IllegalStateException("no thread interrupts a virtual run", e);
            } catch (java.util.concurrent.ExecutionException e) {
                throw new AssertionError("a task failed at " + now + " ns", e.getCause());
            }
        }

        @Override
        public boolean isPeriodic() {
            return periodNanos > 0;
        }

        @Override
        public boolean cancel(boolean mayInterruptIfRunning) {
            tasks.remove(this);
            return super.cancel(mayInterruptIfRunning);
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(dueNanos - now, TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            Task<?> task = (Task<?>) other;
            int byTime = Long.compare(dueNanos, task.dueNanos);
            return byTime != 0 ? byTime : Long.compare(position, task.position);
        }
    }
}
