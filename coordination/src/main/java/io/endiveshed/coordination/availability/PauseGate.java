package io.endiveshed.coordination.availability;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Keeps requests away from a target for the time for which it has asked for that. */
public final class PauseGate implements RequestGate {
    private long pausedNanos;
    private long pauseMillis;

    /** Records that the target asks for a back-off; a shorter time does not end a longer one. */
    public void pause(Duration duration, long nowNanos) {
        pauseMillis = Math.max(remainingMillis(nowNanos), duration.toMillis());
        pausedNanos = nowNanos;
    }

    @Override
    public TargetStatus status(long nowNanos) {
        long remaining = remainingMillis(nowNanos);
        return remaining == 0
                ? TargetStatus.AVAILABLE
                : TargetStatus.unavailable(TargetStatus.Reason.PAUSED, remaining);
    }

    private long remainingMillis(long nowNanos) {
        return Math.max(0, pauseMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos - pausedNanos));
    }
}
