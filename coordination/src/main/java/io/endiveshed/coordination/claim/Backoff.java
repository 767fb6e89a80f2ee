package io.endiveshed.coordination.claim;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential back-off with jitter between calls to an unavailable store. */
final class Backoff {
    private static final long MIN_DELAY_MILLIS = 50;
    private static final long MAX_DELAY_MILLIS = 5_000;

    private final RandomGenerator random;
    private long upperBoundMillis = MIN_DELAY_MILLIS;

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** Returns a random delay between half and all of an upper bound that doubles with each call. */
    Duration nextDelay() {
        long delay = upperBoundMillis / 2 + random.nextLong(upperBoundMillis / 2 + 1);
        upperBoundMillis = Math.min(MAX_DELAY_MILLIS, upperBoundMillis * 2);
        return Duration.ofMillis(delay);
    }

    /** Resets the upper bound to its minimum, after a successful call. */
    void reset() {
        upperBoundMillis = MIN_DELAY_MILLIS;
    }
}
