package io.endiveshed.entry.internal;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Message;

/** One attempt of a call on a target. Guarded by the lock of its call. */
final class Attempt {
    private final AttemptId id;
    private final TargetId target;
    private final BodySender bodySender;
    private Link link;
    private long receivedBytes;
    private long writtenBytes;
    private int linkLosses;

    Attempt(AttemptId id, TargetId target, Link link, byte[] body) {
        this.id = id;
        this.target = target;
        this.link = link;
        this.bodySender = new BodySender(link, id, body);
    }

    AttemptId id() {
        return id;
    }

    TargetId target() {
        return target;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    void send(Message.Dispatch dispatch) {
        link.send(dispatch);
        bodySender.send();
    }

    boolean isOn(Link other) {
        return link == other;
    }

    /** Returns how often the attempt has lost its link. */
    int linkLosses() {
        return linkLosses;
    }

    /** Tells whether the attempt has had no link since the loss with the given number. */
    boolean isDetachedSince(int linkLoss) {
        return link == null && linkLosses == linkLoss;
    }

    /** Tells whether the whole body was handed to the link; before that the target cannot have run the attempt. */
    boolean isBodySent() {
        return bodySender.isSent();
    }

    void detach() {
        link = null;
        linkLosses++;
    }

    void resumeOn(Link newLink) {
        link = newLink;
        link.send(new Message.Resume(id, receivedBytes, writtenBytes));
    }

    void addReceived(int bytes) {
        receivedBytes += bytes;
    }

    /** Counts bytes that the caller took; without a link, the next {@code Resume} carries the sum. */
    void addWritten(int bytes) {
        writtenBytes += bytes;
        if (link != null) {
            link.send(new Message.Credit(id, bytes));
        }
    }

    /** Tells the sidecar that it can forget the attempt. */
    void acknowledgeEnd() {
        if (link != null) {
            link.send(new Message.Credit(id, 0));
        }
    }

    void stopBody() {
        bodySender.stop();
    }
}
