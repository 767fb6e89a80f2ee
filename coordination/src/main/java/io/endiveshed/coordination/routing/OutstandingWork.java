package io.endiveshed.coordination.routing;

import io.endiveshed.base.id.TargetId;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Outstanding work on each target: this entry's own work, which it knows exactly, and the work of the other entries,
 * which it knows from load reports that lag.
 *
 * <p>A report contains the total and the part of it that this entry sent. The entry replaces that part by its own
 * count, so work that the report already includes is not counted twice, and work that is still in transit to the
 * sidecar is not missed. Thread-safe.
 */
public final class OutstandingWork {
    private final Map<TargetId, TargetWork> workByTarget = new ConcurrentHashMap<>();

    /** Adds work that this entry sent to a target. */
    public void recordDispatched(TargetId target, BandWork work) {
        workOn(target).ownWork.updateAndGet(ownWork -> ownWork.plus(work));
    }

    /** Subtracts work that a target finished or dropped; a target that was removed is ignored. */
    public void recordFinished(TargetId target, BandWork work) {
        TargetWork targetWork = workByTarget.get(target);
        if (targetWork != null) {
            targetWork.ownWork.updateAndGet(ownWork -> ownWork.minus(work));
        }
    }

    /** Records a load report; a report older than the last one is ignored. */
    public void recordReport(TargetId target, WorkReport report) {
        workOn(target).lastReport.updateAndGet(last -> report.sequence() > last.sequence() ? report : last);
    }

    /** Returns the estimated work of all entries on a target. */
    public BandWork estimate(TargetId target) {
        TargetWork targetWork = workByTarget.get(target);
        if (targetWork == null) {
            return BandWork.NONE;
        }
        return targetWork.lastReport.get().others().plus(targetWork.ownWork.get());
    }

    /**
     * Returns the free KV memory that a target reported, in tokens, or {@link Long#MAX_VALUE} before the first report.
     */
    public long freeKvTokens(TargetId target) {
        TargetWork targetWork = workByTarget.get(target);
        return targetWork == null ? Long.MAX_VALUE : targetWork.lastReport.get().freeKvTokens();
    }

    /** Removes the state of a target that no longer exists. */
    public void removeTarget(TargetId target) {
        workByTarget.remove(target);
    }

    private TargetWork workOn(TargetId target) {
        return workByTarget.computeIfAbsent(target, id -> new TargetWork());
    }

    private static final class TargetWork {
        private final AtomicReference<BandWork> ownWork = new AtomicReference<>(BandWork.NONE);
        private final AtomicReference<WorkReport> lastReport = new AtomicReference<>(WorkReport.NONE);
    }
}
