package io.endiveshed.net.link;

import io.endiveshed.protocol.Message;

/** Receives what happens on links. Methods run on the link's event loop and must not block. */
public interface LinkListener {
    /** Called when a connection is open, before any message. */
    void opened(Link link);

    /** Called for each message in order. */
    void received(Link link, Message message);

    /** Called once when the connection is closed for whatever reason. */
    void closed(Link link);
}
