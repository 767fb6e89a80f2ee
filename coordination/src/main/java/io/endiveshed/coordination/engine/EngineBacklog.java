package io.endiveshed.coordination.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The unfinished work on one engine, as known from this entry's own requests and from the notices of other entries.
 *
 * <p>Confined to one thread.
 */
public final class EngineBacklog {
    /**
     * Time after a task's predicted end at which it is dropped, because the entry that placed it may have been unable to
     * report its end.
     */
    private static final long OVERDUE_NANOS = 8_000_000_000L;

    private final List<EngineTask> tasks = new ArrayList<>();
    private long prefillEndNanos;

    /** Returns the predicted time in nanoseconds at which the engine has prefilled all prompts placed on it. */
    long prefillEndNanos() {
        return prefillEndNanos;
    }

    /** Returns the unfinished tasks; the list is the live one. */
    public List<EngineTask> tasks() {
        return tasks;
    }

    /** Returns the number of tasks that decode an answer; each of them occupies a slot. */
    public int decodingRequests() {
        int count = 0;
        for (EngineTask task : tasks) {
            if (task.decodes()) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of tokens that the tasks hold in the engine's KV memory. */
    public long kvTokens() {
        long sum = 0;
        for (EngineTask task : tasks) {
            sum += task.kvTokens();
        }
        return sum;
    }

    /** Returns whether the backlog contains the task with the given owner and number. */
    public boolean contains(int owner, long number) {
        return tasks.stream().anyMatch(task -> task.owner() == owner && task.number() == number);
    }

    /**
     * Adds a task that the engine prefills for the given time in milliseconds. Engines prefill parts of divided prompts
     * before all queued prompts, the newest part first, so a divided prompt delays every task that has no first event
     * yet.
     */
    public void add(EngineTask task, double prefillMillis, boolean isDivided, long nowNanos) {
        long prefillNanos = (long) (prefillMillis * 1e6);
        if (isDivided) {
            tasks.replaceAll(other -> other.firstEventNanos() <= nowNanos ? other : other.delayed(prefillNanos));
        }
        tasks.add(task);
        prefillEndNanos = Math.max(prefillEndNanos, nowNanos) + prefillNanos;
    }

    /**
     * Removes a task that has ended. Its prefill that was still to be done, in milliseconds, is no longer needed, so it is
     * subtracted from the predicted end of all prefill. Returns the task; empty if the backlog does not have it.
     */
    public Optional<EngineTask> remove(int owner, long number, double remainingPrefillMillis, long nowNanos) {
        Optional<EngineTask> removed = tasks.stream()
                .filter(task -> task.owner() == owner && task.number() == number)
                .findFirst();
        removed.ifPresent(tasks::remove);
        if (removed.isPresent() && remainingPrefillMillis > 0) {
            prefillEndNanos = Math.max(nowNanos, prefillEndNanos - (long) (remainingPrefillMillis * 1e6));
        }
        return removed;
    }

    /** Returns the time in milliseconds that the engine is predicted to need for all prefill placed on it. */
    public double prefillMillis(long nowNanos) {
        return Math.max(0, prefillEndNanos - nowNanos) / 1e6;
    }

    /** Removes all tasks of an entry that has left. */
    public void removeOwner(int owner) {
        tasks.removeIf(task -> task.owner() == owner);
    }

    /** Removes the tasks whose predicted end is more than 8 seconds ago. */
    public void removeOverdue(long nowNanos) {
        tasks.removeIf(task -> nowNanos - task.endNanos() > OVERDUE_NANOS);
    }
}
