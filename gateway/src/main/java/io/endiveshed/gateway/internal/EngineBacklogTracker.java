package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.engine.EnginePlacer;
import io.endiveshed.coordination.engine.EngineTask;
import io.endiveshed.coordination.engine.LongPrefillDemand;
import java.util.List;

/**
 * Keeps the backlogs of the engines up to date, from the prompts that this entry places and the notices of the other
 * entries. Confined to one event loop.
 */
final class EngineBacklogTracker implements PeerExchange.PlacementListener {
    /** Owner number of the prompts that this entry places. */
    static final int SELF = 0;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Targets targets;
    private final LongPrefillDemand longPrefillDemand = new LongPrefillDemand(System::nanoTime);

    EngineBacklogTracker(Targets targets) {
        this.targets = targets;
    }

    /** Returns the share of the time of the given number of engines that the prefill of long prompts takes. */
    double longPrefillShare(int engines) {
        return longPrefillDemand.share(engines);
    }

    @Override
    public void started(int owner, PlacementNotice notice) {
        long nowNanos = System.nanoTime();
        List<InstanceId> engineIds = notice.engineIds();
        if (isKnown(owner, notice)) {
            return;
        }
        if (EnginePlacer.isLongPrompt(notice.maxPauseMillis())) {
            longPrefillDemand.add(notice.prefillMillis() * engineIds.size());
        }
        for (int i = 0; i < engineIds.size(); i++) {
            TargetRuntime target = targets.find(engineIds.get(i));
            if (target != null) {
                boolean isPrimary = i == 0;
                target.backlog()
                        .add(
                                new EngineTask(
                                        owner,
                                        notice.number(),
                                        after(nowNanos, notice.firstEventMillis()),
                                        after(nowNanos, notice.endMillis()),
                                        after(nowNanos, notice.firstEventBudgetMillis()),
                                        after(nowNanos, notice.callerTimeoutMillis()),
                                        notice.maxPauseMillis(),
                                        notice.weight(),
                                        kvTokens(notice, i),
                                        isPrimary),
                                notice.prefillMillis(),
                                engineIds.size() > 1,
                                nowNanos);
            }
        }
    }

    /**
     * Returns whether the notice was received before. Once a peer that was unreachable is reachable again, an entry
     * repeats its notices, although the peer may have received them.
     */
    private boolean isKnown(int owner, PlacementNotice notice) {
        TargetRuntime primary = targets.find(notice.engineIds().get(0));
        return primary != null && primary.backlog().contains(owner, notice.number());
    }

    @Override
    public void ended(int owner, long number, double remainingPrefillMillis) {
        long nowNanos = System.nanoTime();
        targets.all()
                .forEach(target -> target.backlog()
                        .remove(owner, number, remainingPrefillMillis, nowNanos)
                        .filter(task -> owner != SELF && task.decodes())
                        .ifPresent(task -> target.recovery().recordEndElsewhere(task, nowNanos)));
    }

    @Override
    public void ownerGone(int owner) {
        targets.all().forEach(target -> target.backlog().removeOwner(owner));
    }

    /** Removes the prompts whose end is overdue. */
    void removeOverdue() {
        long nowNanos = System.nanoTime();
        targets.all().forEach(target -> target.backlog().removeOverdue(nowNanos));
    }

    /** Returns the KV cache in tokens that a prompt takes on the engine with the given index in the notice. */
    private static long kvTokens(PlacementNotice notice, int index) {
        if (index == 0) {
            return notice.kvTokens();
        }
        return index <= notice.holderCount() ? notice.holderKvTokens() : 0;
    }

    private static long after(long nowNanos, double millis) {
        return nowNanos + (long) (millis * NANOS_PER_MILLI);
    }
}
