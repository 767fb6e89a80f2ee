package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.freshness.ClockReading;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Older copy to which the store has returned, as long as it may hide what the operator had written before. */
final class RestoredCopy {
    /**
     * Time after the return of the store from an older copy within which the operator writes its objects again. It took
     * 0.1 s on played days; the platform names no bound.
     */
    private static final Duration REWRITE_TIME = Duration.ofSeconds(1);

    private OptionalLong untilNanos = OptionalLong.empty();

    void begin(ClockReading now) {
        untilNanos = OptionalLong.of(now.monotonicNanos() + REWRITE_TIME.toNanos());
    }

    /** Records that what is read now is not from the copy. */
    void end() {
        untilNanos = OptionalLong.empty();
    }

    /** Returns whether a return of the store from a copy has not ended. */
    boolean isPresent() {
        return untilNanos.isPresent();
    }

    /** Returns whether a call with the given start may count as one that reads the copy. */
    boolean mayBeRead(ClockReading start) {
        return untilNanos.isPresent() && start.monotonicNanos() - untilNanos.getAsLong() < 0;
    }

    /** Returns the timeout of a watch, which ends when the copy may count as rewritten, but not before the minimum. */
    Duration limit(Duration timeout, Duration min, ClockReading start) {
        if (untilNanos.isEmpty()) {
            return timeout;
        }
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(untilNanos.getAsLong() - start.monotonicNanos());
        return remainingMillis < min.toMillis()
                ? min
                : Duration.ofMillis(Math.min(remainingMillis, timeout.toMillis()));
    }
}
