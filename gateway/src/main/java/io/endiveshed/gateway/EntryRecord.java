package io.endiveshed.gateway;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.service.Endpoint;
import java.util.Optional;

/**
 * Registration of an entry, as the other entries read it.
 *
 * @param instance instance on which the entry runs
 * @param peerAddress UDP address that receives placement notices of other entries
 * @param startedMillis Unix time of the entry's start in milliseconds
 * @param domain failure domain of the instance; empty in records of earlier builds
 */
public record EntryRecord(
        InstanceId instance, Endpoint peerAddress, long startedMillis, Optional<FailureDomain> domain) {}
