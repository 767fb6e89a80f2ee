package io.endiveshed.base.id;

/**
 * One incarnation of the sidecar before a target. A target whose sidecar restarts gets a new id.
 *
 * @param instance the instance of the target
 * @param incarnation the incarnation of its sidecar
 */
public record TargetId(InstanceId instance, Incarnation incarnation) {
    @Override
    public String toString() {
        return instance + "#" + incarnation;
    }
}
