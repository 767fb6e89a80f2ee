package io.endiveshed.net.http;

/** Request to which a response belongs, as far as its header fields tell. */
public enum ResponseOwner {
    /** The request that uses the connection. */
    CURRENT_REQUEST,

    /** Another request; its response is discarded. */
    OTHER_REQUEST,

    /**
     * The response names no request. A server that cannot parse a request answers so, with status 400; other responses
     * are discarded. As a server may write an earlier response once more, it belongs to the current request only on a
     * connection that no other request has used.
     */
    UNKNOWN
}
