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
public final class TargetLosses {
    private final Supplier<FleetView> fleet;
    private final Function<TargetId, TargetState> states;
    private final Consumer<TargetId> lost;
    private final Consumer<TargetId> gone;
    private final Set<TargetId> known = new HashSet<>();
    private Map<TargetId, TargetState> last = Map.of();

    /** Makes an observer of a fleet; the function returns the state of targets without links too. */
    public TargetLosses(
            Supplier<FleetView> fleet,
            Function<TargetId, TargetState> states,
            Consumer<TargetId> lost,
            Consumer<TargetId> gone) {
        this.fleet = fleet;
        this.states = states;
        this.lost = lost;
        this.gone = gone;
    }

    /** Compares the fleet with that of the last call. */
    public synchronized void tick() {
        Map<TargetId, TargetState> now = new HashMap<>();
        for (TargetView target : fleet.get().targets()) {
            now.put(target.id(), target.state());
        }
        last.forEach((target, state) -> {
            TargetState current = now.get(target);
            if (state == TargetState.LIVE && (current == null || current == TargetState.SUSPECT)) {
                lost.accept(target);
            }
        });
        known.addAll(now.keySet());
        known.removeIf(target -> !now.containsKey(target) && isGone(target));
        last = now;
    }

    private boolean isGone(TargetId target) {
        boolean isGone = states.apply(target) == TargetState.GONE;
        if (isGone) {
            gone.accept(target);
        }
        return isGone;
    }
}
