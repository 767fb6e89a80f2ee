package io.endiveshed.coordination.service;

import io.endiveshed.base.id.ServiceName;
import io.endiveshed.coordination.engine.EngineCostModel;
import java.util.Optional;

/**
 * A service of the desired state.
 *
 * @param name name of the service
 * @param healthPath path of the health check of its targets
 * @param connectionLimit maximum number of connections that one target accepts from all callers together
 * @param engineCosts cost model of its targets; empty for a plain service
 * @param delays network delays between the failure domains of its targets
 * @param coldStart how its targets start
 */
public record ServiceRule(
        ServiceName name,
        String healthPath,
        int connectionLimit,
        Optional<EngineCostModel> engineCosts,
        DomainDelays delays,
        ColdStart coldStart) {
    /** Creates a service whose targets are never limited because they are cold. */
    public ServiceRule(
            ServiceName name,
            String healthPath,
            int connectionLimit,
            Optional<EngineCostModel> engineCosts,
            DomainDelays delays) {
        this(name, healthPath, connectionLimit, engineCosts, delays, ColdStart.NONE);
    }
}
