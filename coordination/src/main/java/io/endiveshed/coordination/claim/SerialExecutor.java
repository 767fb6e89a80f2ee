package io.endiveshed.coordination.claim;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;

/**
 * Runs tasks one at a time, in the order of submission, on the submitting threads; has no thread or lock of its own.
 */
final class SerialExecutor {
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingTasks = new AtomicInteger();

    /** Runs a task before this method returns, or queues it for the thread that is running tasks. */
    void execute(Runnable task) {
        tasks.add(task);
        if (pendingTasks.getAndIncrement() != 0) {
            return;
        }
        do {
            run(tasks.poll());
        } while (pendingTasks.decrementAndGet() != 0);
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // The queued tasks must still run, or their callers would wait forever.
            Logger.error(e, "task of a claim log partition failed");
        }
    }
}
