package io.endiveshed.entry.internal;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Message;

/** One attempt of a call on a target. Guarded by the lock of its call. */
final class Attempt {
    private final AttemptId id;
    private final TargetId target;
    private final BodySender body;
    private Link link;
    private long received;
    private long written;
    private int detachments;

    Attempt(AttemptId id, TargetId target, Link link, byte[] body) {
        this.id = id;
        this.target = target;
        this.link = link;
        this.body = new BodySender(link, id, body);
    }

    AttemptId id() {
        return id;
    }

    TargetId target() {
        return target;
    }

    long received() {
        return received;
    }

    void send(Message.Dispatch dispatch) {
        link.send(dispatch);
        body.send();
    }

    boolean isOn(Link other) {
        return link == other;
    }

    /** Returns how often the attempt has lost its link. */
    int detachments() {
        return detachments;
    }

    /** Tells whether the attempt has had no link since the loss with the given number. */
    boolean isDetachedSince(int detachment) {
        return link == null && detachments == detachment;
    }

    /** Tells whether the whole body was handed to the link; before that the target cannot have run the attempt. */
    boolean isBodySent() {
        return body.isSent();
    }

    void detach() {
        link = null;
        detachments++;
    }

    void resumeOn(Link newLink) {
        link = newLink;
        link.send(new Message.Resume(id, received, written));
    }

    void received(int bytes) {
        received += bytes;
    }

    /** Counts bytes that the caller took; without a link, the next {@code Resume} carries the sum. */
    void written(int bytes) {
        written += bytes;
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
        body.stop();
    }
}
