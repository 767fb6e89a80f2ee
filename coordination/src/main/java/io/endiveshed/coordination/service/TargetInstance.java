package io.endiveshed.coordination.service;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import java.util.Optional;

/**
 * A target in the list of the platform.
 *
 * @param id name of the target
 * @param service name of the service that it runs
 * @param endpoint address on which it listens; another target may get this address later
 * @param domain its failure domain
 * @param slots number of requests that it runs at once
 * @param draining whether it is about to stop and must get no new requests
 * @param startedMillis Unix time of its start in milliseconds, 0 if unknown; distinguishes two starts under one name
 * @param cold what its object says of its cold time; empty if nothing that can be decoded
 */
public record TargetInstance(
        InstanceId id,
        ServiceName service,
        Endpoint endpoint,
        FailureDomain domain,
        int slots,
        boolean draining,
        long startedMillis,
        Optional<ColdReading> cold) {
    /** Creates a target whose object does not name a cold time. */
    public TargetInstance(
            InstanceId id,
            ServiceName service,
            Endpoint endpoint,
            FailureDomain domain,
            int slots,
            boolean draining,
            long startedMillis) {
        this(id, service, endpoint, domain, slots, draining, startedMillis, Optional.empty());
    }
}
