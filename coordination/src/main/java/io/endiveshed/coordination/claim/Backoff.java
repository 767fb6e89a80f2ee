package io.endiveshed.coordination.claim;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential back-off with jitter between calls to a store that does not answer. */
final class Backoff {
    private static final long MIN_MILLIS = 50;
    private static final long MAX_MILLIS = 5_000;

    private final RandomGenerator random;
    private long millis = MIN_MILLIS;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the next delay, half to all of a duration that doubles with each call. */
    Duration next() {
        long delay = millis / 2 + random.nextLong(millis / 2 + 1);
        millis = Math.min(MAX_MILLIS, millis * 2);
        return Duration.ofMillis(delay);
    }

    void reset() {
        millis = MIN_MILLIS;
    }
}
