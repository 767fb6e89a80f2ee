package io.endiveshed.coordination.claim;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.tinylog.Logger;

/** Runs tasks one after the other on the threads that submit them, without a thread or a lock of its own. */
final class Mailbox {
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    /** Runs a task before this returns, or leaves it to the thread that is running tasks now. */
    void execute(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() != 0) {
            return;
        }
        do {
            run(tasks.poll());
        } while (pending.decrementAndGet() != 0);
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // The tasks after this one must still run, or their callers would wait forever.
            Logger.error(e, "task of a claim log partition failed");
        }
    }
}
