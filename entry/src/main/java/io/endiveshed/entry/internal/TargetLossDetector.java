package io.endiveshed.entry.internal;

import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.membership.FleetView;
import io.endiveshed.coordination.membership.TargetState;
import io.endiveshed.coordination.membership.TargetView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Reports each loss of a live target once, although its links close one by one, and each target that is gone. A target
 * that announced that it leaves is not lost. {@link #tick} must be called by one thread at a time.
 */
public final class TargetLossDetector {
    private final Supplier<FleetView> fleet;
    private final Function<TargetId, TargetState> stateOf;
    private final Consumer<TargetId> lossListener;
    private final Consumer<TargetId> removalListener;
    private final Set<TargetId> knownTargets = new HashSet<>();
    private Map<TargetId, TargetState> previousStates = Map.of();

    /** Makes an observer of a fleet; the function returns the state of targets without links too. */
    public TargetLossDetector(
            Supplier<FleetView> fleet,
            Function<TargetId, TargetState> stateOf,
            Consumer<TargetId> lossListener,
            Consumer<TargetId> removalListener) {
        this.fleet = fleet;
        this.stateOf = stateOf;
        this.lossListener = lossListener;
        this.removalListener = removalListener;
    }

    /** Compares the fleet with that of the last call. */
    public synchronized void tick() {
        Map<TargetId, TargetState> currentStates = new HashMap<>();
        for (TargetView target : fleet.get().targets()) {
            currentStates.put(target.id(), target.state());
        }
        previousStates.forEach((target, state) -> {
            TargetState current = currentStates.get(target);
            if (state == TargetState.LIVE && (current == null || current == TargetState.SUSPECT)) {
                lossListener.accept(target);
            }
        });
        knownTargets.addAll(currentStates.keySet());
        knownTargets.removeIf(target -> !currentStates.containsKey(target) && reportIfGone(target));
        previousStates = currentStates;
    }

    private boolean reportIfGone(TargetId target) {
        boolean gone = stateOf.apply(target) == TargetState.GONE;
        if (gone) {
            removalListener.accept(target);
        }
        return gone;
    }
}
