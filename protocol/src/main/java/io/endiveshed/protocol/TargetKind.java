package io.endiveshed.protocol;

/** What stands behind a sidecar. */
public enum TargetKind {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
}
