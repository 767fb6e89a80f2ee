package io.endiveshed.base.time;

import java.time.Duration;
import org.agrona.concurrent.NanoClock;

/** A monotonic clock and its timers. */
public interface Scheduler extends NanoClock {
    /** Runs an action once after a delay; a delay of zero or less runs it as soon as possible, never in this call. */
    void schedule(Duration delay, Runnable action);
}
