package io.endiveshed.coordination.queueing;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.routing.BandWork;
import java.util.HashMap;
import java.util.Map;

/** Outstanding work of a target, in total and by the entry that sent it. Not thread-safe: used by one thread only. */
public final class WorkByEntry {
    private final Map<InstanceId, BandWork> byEntry = new HashMap<>();
    private BandWork total = BandWork.NONE;

    /** Adds work that an entry has sent. */
    public void add(InstanceId entry, BandWork work) {
        total = total.plus(work);
        byEntry.merge(entry, work, BandWork::plus);
    }

    /** Subtracts work of an entry that was finished or dropped. */
    public void subtract(InstanceId entry, BandWork work) {
        total = total.minus(work);
        byEntry.computeIfPresent(entry, (id, old) -> {
            BandWork left = old.minus(work);
            return left.totalNanos() == 0 ? null : left;
        });
    }

    /** Returns the outstanding work of all entries. */
    public BandWork total() {
        return total;
    }

    /** Returns the outstanding work of one entry. */
    public BandWork of(InstanceId entry) {
        return byEntry.getOrDefault(entry, BandWork.NONE);
    }
}
