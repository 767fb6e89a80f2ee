package io.endiveshed.coordination.claim;

import java.time.Duration;

/** Runs tasks later, on any thread. */
@FunctionalInterface
public interface Timers {
    /** Runs a task once after a delay. */
    void after(Duration delay, Runnable task);
}
