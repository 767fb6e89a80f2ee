package io.endiveshed.ports.platform;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.Region;

/**
 * An instance in the platform's list.
 *
 * @param id instance
 * @param role what runs on it
 * @param region its region
 * @param failureDomain its failure domain
 * @param host IP address
 * @param port link port of an entry daemon; 0 for a target
 * @param leaving whether the platform is about to stop it
 */
public record ListedInstance(
        InstanceId id, Role role, Region region, FailureDomain failureDomain, String host, int port, boolean leaving) {
    /** What runs on an instance. */
    public enum Role {
        /** An entry daemon. */
        ENTRY,
        /** A target and its sidecar. */
        TARGET
    }
}
