package io.endiveshed.base.id;

/**
 * Id of a target. It includes the incarnation of the target's sidecar, so a target gets a new id when its sidecar
 * restarts.
 *
 * @param instance instance on which the target runs
 * @param incarnation incarnation of its sidecar
 */
public record TargetId(InstanceId instance, Incarnation incarnation) {
    @Override
    public String toString() {
        return instance + "#" + incarnation;
    }
}
