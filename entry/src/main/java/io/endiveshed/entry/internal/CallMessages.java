package io.endiveshed.entry.internal;

import io.endiveshed.base.id.TargetId;
import io.endiveshed.protocol.Message;

/** Receives what sidecars send about calls. */
public interface CallMessages {
    /** Called for each message about a call. */
    void received(TargetId target, Message message);

    /** Called when a link of a target has closed; calls on it have lost their way back. */
    void linkClosed(TargetId target);
}
