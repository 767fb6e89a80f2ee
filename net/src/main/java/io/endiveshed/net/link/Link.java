package io.endiveshed.net.link;

import io.endiveshed.protocol.Message;

/** One open connection between an entry daemon and a sidecar. Safe for use by several threads. */
public interface Link {
    /** Sends a message; it is dropped if the link is closed. */
    void send(Message message);

    /** Sends a message and runs the action when it was written to the socket; the action is dropped if that fails. */
    void send(Message message, Runnable whenWritten);

    /** Tells whether the link is open; once false, the listener hears of the end or has heard of it. */
    boolean isOpen();

    /** Notes that the peer has proved who it is; a link without that is closed after a few seconds. */
    void markAuthenticated();

    /** Closes the link. */
    void close();

    /** Returns the remote address for log lines. */
    String remoteAddress();
}
