package io.endiveshed.ports.platform;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.Region;

/**
 * Entry of the platform's list of instances.
 *
 * @param id id of the instance
 * @param role process that runs on the instance
 * @param region region of the instance
 * @param failureDomain failure domain of the instance
 * @param host IP address of the instance
 * @param port link port of an entry daemon; 0 for a target
 * @param leaving whether the platform is about to stop the instance
 */
public record ListedInstance(
        InstanceId id, Role role, Region region, FailureDomain failureDomain, String host, int port, boolean leaving) {
    /** Kind of process that runs on an instance. */
    public enum Role {
        /** An entry daemon. */
        ENTRY,
        /** A target and its sidecar. */
        TARGET
    }
}
