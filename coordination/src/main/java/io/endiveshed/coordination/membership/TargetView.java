package io.endiveshed.coordination.membership;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.base.id.TargetKind;
import java.util.List;

/**
 * Immutable snapshot of one target as a process knows it.
 *
 * @param id instance and incarnation of the target
 * @param kind whether the target is an engine or a plain service
 * @param serves names of the models, or of the plain service, that the target serves
 * @param region region of the target
 * @param failureDomain failure domain of the target
 * @param kvCapacityTokens KV cache capacity in tokens; 0 for a plain service
 * @param state state of the incarnation
 * @param load most recent load that the target reported
 */
public record TargetView(
        TargetId id,
        TargetKind kind,
        List<String> serves,
        Region region,
        FailureDomain failureDomain,
        long kvCapacityTokens,
        TargetState state,
        TargetLoad load) {
    /** Creates a view with an unmodifiable copy of the names. */
    public TargetView {
        serves = List.copyOf(serves);
    }

    /** Returns a copy of this view with the given load. */
    public TargetView withLoad(TargetLoad newLoad) {
        return new TargetView(id, kind, serves, region, failureDomain, kvCapacityTokens, state, newLoad);
    }

    /**
     * Returns a copy of this view with the given state, or this view if it is leaving or gone and the state is earlier.
     */
    public TargetView withState(TargetState newState) {
        boolean isFinal = state == TargetState.LEAVING || state == TargetState.GONE;
        if (isFinal && newState.compareTo(state) < 0) {
            return this;
        }
        return new TargetView(id, kind, serves, region, failureDomain, kvCapacityTokens, newState, load);
    }
}
