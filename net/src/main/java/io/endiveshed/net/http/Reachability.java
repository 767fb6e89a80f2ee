package io.endiveshed.net.http;

/** Whether a process listens on an address, as far as an attempt to connect shows. */
public enum Reachability {
    /** A connection was accepted. */
    ACCEPTING,

    /** The connection was refused, so no process listens there. */
    REFUSING,

    /** There was no reply in time: the process, its machine or the network may be at fault. */
    UNKNOWN
}
