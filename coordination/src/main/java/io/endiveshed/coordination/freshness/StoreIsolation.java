package io.endiveshed.coordination.freshness;

import java.util.List;

/**
 * Decides whether an entry alone cannot reach the store, by comparing the age of its desired state with those that the
 * other entries report.
 *
 * <p>Handles the load of a single machine that is cut off from the store: its callers are best served by another entry
 * at once. If the store is away for all, callers that return at once would only be refused again.
 *
 * <pre>{@code
 * boolean isIsolated = StoreIsolation.isIsolated(ownAgeMillis, peerAgesMillis);
 * }</pre>
 */
public final class StoreIsolation {
    /**
     * Age in milliseconds up to which a desired state counts as confirmed. Between two watches of a second it grows to
     * two seconds, as it counts from the start of the last watch that returned; a call is given up 0.7 s later.
     */
    private static final long MAX_CONFIRMED_AGE_MILLIS = 2_700;

    private StoreIsolation() {}

    /**
     * Returns whether the own desired state is not confirmed while that of most other entries is.
     *
     * @param ownAgeMillis age of the own desired state in milliseconds
     * @param peerAgesMillis ages of the desired states of the other entries that can be reached, in milliseconds
     */
    public static boolean isIsolated(long ownAgeMillis, List<Long> peerAgesMillis) {
        if (ownAgeMillis <= MAX_CONFIRMED_AGE_MILLIS) {
            return false;
        }
        long confirmed = peerAgesMillis.stream()
                .filter(age -> age <= MAX_CONFIRMED_AGE_MILLIS)
                .count();
        return confirmed * 2 > peerAgesMillis.size();
    }
}
