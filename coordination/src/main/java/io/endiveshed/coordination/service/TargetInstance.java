package io.endiveshed.coordination.service;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;

/**
 * A target that the platform lists.
 *
 * @param id name of this incarnation
 * @param service the service that it runs
 * @param endpoint where it listens; another target may get this address later
 * @param domain its failure domain
 * @param slots requests that it runs at once
 * @param draining whether it is about to leave and must get no new work
 * @param startedMillis Unix time of its start in milliseconds, 0 if unknown; tells two starts under one name apart
 */
public record TargetInstance(
        InstanceId id,
        ServiceName service,
        Endpoint endpoint,
        FailureDomain domain,
        int slots,
        boolean draining,
        long startedMillis) {}
