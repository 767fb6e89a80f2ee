package io.endiveshed.coordination.membership;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.Region;

/**
 * Where an instance runs.
 *
 * @param region region of the instance
 * @param failureDomain failure domain of the instance
 */
public record InstanceLocation(Region region, FailureDomain failureDomain) {}
