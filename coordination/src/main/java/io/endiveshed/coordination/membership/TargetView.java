package io.endiveshed.coordination.membership;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.base.id.TargetKind;
import java.util.List;

/**
 * What a process knows of one target.
 *
 * @param id instance and incarnation
 * @param kind engine or plain service
 * @param serves names of the models or the service
 * @param region region of the target
 * @param failureDomain failure domain of the target
 * @param kvCapacityTokens KV memory in tokens; 0 for a plain service
 * @param state state of this incarnation
 * @param load load that it reported last
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
    /** Copies the list of names. */
    public TargetView {
        serves = List.copyOf(serves);
    }

    /** Returns this view with another load. */
    public TargetView withLoad(TargetLoad newLoad) {
        return new TargetView(id, kind, serves, region, failureDomain, kvCapacityTokens, state, newLoad);
    }

    /** Returns this view with a later state; an earlier state is ignored once the target is leaving or gone. */
    public TargetView withState(TargetState newState) {
        boolean isFinal = state == TargetState.LEAVING || state == TargetState.GONE;
        if (isFinal && newState.compareTo(state) < 0) {
            return this;
        }
        return new TargetView(id, kind, serves, region, failureDomain, kvCapacityTokens, newState, load);
    }
}
