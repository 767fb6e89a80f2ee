package io.endiveshed.coordination.membership;

/** State of one incarnation of a target. */
public enum TargetState {
    /** Takes new work. */
    LIVE,
    /** Has not been heard of for a while; takes new work only if no other target can. */
    SUSPECT,
    /** Takes no new work and finishes what runs; final for the incarnation. */
    LEAVING,
    /** Is not linked any more; final for the incarnation. */
    GONE
}
