package io.endiveshed.entry.internal;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Message;
import io.endiveshed.protocol.ProtocolLimits;
import java.util.Arrays;

/** Sends a request body in chunks, a few at a time, so that other requests can use the link in between. */
final class BodySender {
    /** Chunks that may wait in the link's write buffer. */
    private static final int MAX_BUFFERED_CHUNKS = 4;

    private final Link link;
    private final AttemptId attempt;
    private final byte[] body;
    private int offset;
    private boolean sent;
    private boolean stopped;

    BodySender(Link link, AttemptId attempt, byte[] body) {
        this.link = link;
        this.attempt = attempt;
        this.body = body;
    }

    void send() {
        for (int i = 0; i < MAX_BUFFERED_CHUNKS; i++) {
            sendNext();
        }
    }

    /** Ends the sending, because the attempt has ended. */
    synchronized void stop() {
        stopped = true;
    }

    /** Tells whether the last chunk was handed to the link. */
    synchronized boolean isSent() {
        return sent;
    }

    private synchronized void sendNext() {
        if (sent || stopped) {
            return;
        }
        int from = offset;
        int to = Math.min(body.length, from + ProtocolLimits.MAX_CHUNK_BYTES);
        offset = to;
        sent = to == body.length;
        Message.BodyChunk chunk = new Message.BodyChunk(attempt, from, Arrays.copyOfRange(body, from, to), sent);
        if (sent) {
            link.send(chunk);
        } else {
            link.send(chunk, this::sendNext);
        }
    }
}
