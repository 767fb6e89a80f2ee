package io.endiveshed.base.id;

/** Kind of the back end to which a sidecar forwards requests. */
public enum TargetKind {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
}
