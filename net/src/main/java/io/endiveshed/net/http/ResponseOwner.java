package io.endiveshed.net.http;

/** Request to which a response belongs, as far as its header fields tell. */
public enum ResponseOwner {
    /** The request that uses the connection. */
    CURRENT_REQUEST,

    /** Another request of the same connection; its response is discarded. */
    OTHER_REQUEST,

    /**
     * The response names no request. It belongs to the current one only on a connection that no other request has used,
     * as a server may write an earlier response once more.
     */
    UNKNOWN
}
