package io.endiveshed.coordination.claim;

import java.time.Duration;

/**
 * Limits of a key table. Each log entry carries those of its writer, so that all readers apply it alike while a changed
 * setting is on its way to the processes.
 *
 * @param retentionMillis time for which a key is kept after its claim, in milliseconds
 * @param maxKeys most keys of a partition
 * @param maxTableBytes most bytes of the encoded table
 */
record KeyLimits(long retentionMillis, int maxKeys, int maxTableBytes) {
    static final KeyLimits DEFAULT = new KeyLimits(Duration.ofHours(4).toMillis(), 8_192, 900_000);

    /** Returns the bytes up to which new claims are accepted; the rest is for answers and fences. */
    int maxClaimBytes() {
        return maxTableBytes / 4 * 3;
    }

    boolean isExpired(long atMillis, long timeMillis) {
        return timeMillis - atMillis >= retentionMillis;
    }
}
