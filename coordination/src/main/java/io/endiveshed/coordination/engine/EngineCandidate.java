package io.endiveshed.coordination.engine;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;

/**
 * An engine on which a prompt may be placed.
 *
 * @param id id of the engine
 * @param domain failure domain of the engine
 * @param isInOtherDomain whether the entry is in another failure domain
 * @param slots number of requests that it runs at once
 * @param backlog its unfinished work, as far as this entry knows
 * @param mayHelp whether it may prefill a part of a prompt for another engine
 * @param networkDelayMillis one-way network delay from this entry to the engine in milliseconds
 * @param speedFactor measured speed relative to the cost model; 1 if it is as fast, less if it is slower
 */
public record EngineCandidate(
        InstanceId id,
        FailureDomain domain,
        boolean isInOtherDomain,
        int slots,
        EngineBacklog backlog,
        boolean mayHelp,
        double networkDelayMillis,
        double speedFactor) {
    /** Creates a candidate that is as fast as the cost model says. */
    public EngineCandidate(
            InstanceId id,
            FailureDomain domain,
            boolean isInOtherDomain,
            int slots,
            EngineBacklog backlog,
            boolean mayHelp,
            double networkDelayMillis) {
        this(id, domain, isInOtherDomain, slots, backlog, mayHelp, networkDelayMillis, 1);
    }
}
