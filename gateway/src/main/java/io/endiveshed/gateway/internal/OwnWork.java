package io.endiveshed.gateway.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The work that this entry has placed and that has not ended, to be told to entries that start later.
 *
 * <p>Answers the load after a restart: an entry that knows nothing of the others' work places its requests on engines
 * that are full. Confined to one thread.
 */
final class OwnWork {
    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<Long, Placed> open = new LinkedHashMap<>();

    void started(WorkNotice notice, long nowNanos) {
        open.put(notice.number(), new Placed(notice, nowNanos));
    }

    void ended(long number) {
        open.remove(number);
    }

    /** Returns the work that goes on, with its times relative to now, oldest first. */
    List<WorkNotice> notices(long nowNanos) {
        return open.values().stream()
                .map(placed -> placed.notice.after((nowNanos - placed.startedNanos) / NANOS_PER_MILLI))
                .toList();
    }

    private record Placed(WorkNotice notice, long startedNanos) {}
}
