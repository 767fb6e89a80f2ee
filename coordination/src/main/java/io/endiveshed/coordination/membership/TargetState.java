package io.endiveshed.coordination.membership;

/** State of one incarnation of a target, as seen by one entry. */
public enum TargetState {
    /** Accepts new requests. */
    LIVE,
    /** Has sent no frame for a while; gets new requests only if no other target is usable. */
    SUSPECT,
    /** Gets no new requests and finishes the running ones; final for the incarnation. */
    LEAVING,
    /** Has no link any more; final for the incarnation. */
    GONE
}
