package io.endiveshed.coordination.claim;

import java.time.Duration;

/**
 * Limits of a claim table. Each log entry contains the limits of its writer, so that all readers apply it with the same
 * limits while processes run with different settings.
 *
 * @param retentionMillis retention of a key after its claim, in milliseconds
 * @param maxKeys maximum number of keys of a partition
 * @param maxTableBytes maximum size of the encoded table in bytes
 */
record ClaimTableLimits(long retentionMillis, int maxKeys, int maxTableBytes) {
    static final ClaimTableLimits DEFAULT =
            new ClaimTableLimits(Duration.ofHours(4).toMillis(), 8_192, 900_000);

    /**
     * Returns the size in bytes up to which new claims are accepted; the rest is reserved for responses and blocked
     * attempts.
     */
    int maxClaimBytes() {
        return maxTableBytes / 4 * 3;
    }

    /** Returns whether the retention of an element with the log time {@code atMillis} is over at a log time. */
    boolean isExpired(long atMillis, long timeMillis) {
        return timeMillis - atMillis >= retentionMillis;
    }
}
