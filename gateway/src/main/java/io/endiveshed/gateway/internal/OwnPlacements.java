package io.endiveshed.gateway.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Prompts that this entry has placed and that have not ended, so that entries that start later can be notified of them.
 *
 * <p>Handles the load after a restart: an entry that knows no prompts of the others places its requests on engines
 * that are full. Confined to one thread.
 */
final class OwnPlacements {
    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<Long, StartedPlacement> openByNumber = new LinkedHashMap<>();

    void started(PlacementNotice notice, long nowNanos) {
        openByNumber.put(notice.number(), new StartedPlacement(notice, nowNanos));
    }

    void ended(long number) {
        openByNumber.remove(number);
    }

    /** Returns notices of the prompts that have not ended, oldest first, with times relative to now. */
    List<PlacementNotice> currentNotices(long nowNanos) {
        return openByNumber.values().stream()
                .map(placement -> placement.notice.after((nowNanos - placement.startedNanos) / NANOS_PER_MILLI))
                .toList();
    }

    private record StartedPlacement(PlacementNotice notice, long startedNanos) {}
}
