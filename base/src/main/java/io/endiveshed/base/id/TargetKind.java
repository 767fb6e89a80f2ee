package io.endiveshed.base.id;

/** What stands behind a sidecar. */
public enum TargetKind {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
}
