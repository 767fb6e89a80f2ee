package io.endiveshed.entry.internal;

import io.endiveshed.base.id.TargetId;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Message;

/** Receives what sidecars send about calls. */
public interface CallMessageListener {
    /** Called for each message about a call. */
    void received(TargetId target, Link link, Message message);

    /** Called when a link of a target is ready; calls whose link had closed can resume on it. */
    void linkOpened(TargetId target);

    /** Called when a link of a target has closed; calls on it have lost their way back. */
    void linkClosed(TargetId target, Link link);
}
