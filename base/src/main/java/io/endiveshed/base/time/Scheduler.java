package io.endiveshed.base.time;

import java.time.Duration;
import org.agrona.concurrent.NanoClock;

/** Monotonic clock that runs actions after a delay. */
public interface Scheduler extends NanoClock {
    /**
     * Runs an action once after a delay; with a delay of zero or less, as soon as possible, but never within this call.
     */
    void schedule(Duration delay, Runnable action);
}
