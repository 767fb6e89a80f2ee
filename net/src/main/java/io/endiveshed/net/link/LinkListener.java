package io.endiveshed.net.link;

import io.endiveshed.protocol.Message;

/** Receives the events and messages of links. Methods run on the link's event loop and must not block. */
public interface LinkListener {
    /** Called when the link has opened, before any message. */
    void opened(Link link);

    /** Called for each message, in the order in which the peer sent them. */
    void received(Link link, Message message);

    /** Called once when the link has closed, for any reason. */
    void closed(Link link);
}
