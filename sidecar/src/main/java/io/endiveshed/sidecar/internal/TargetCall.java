package io.endiveshed.sidecar.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.http.HttpExchange;
import io.endiveshed.net.http.HttpResponseListener;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Header;
import io.endiveshed.protocol.Message;
import io.endiveshed.protocol.ProtocolLimits;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;

/** One call from its dispatch to its last response byte. Methods are synchronized on the call. */
final class TargetCall implements HttpResponseListener {
    /** Header fields that belong to one connection and must not be passed on. */
    private static final Set<String> CONNECTION_HEADERS =
            Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "te", "trailer");

    private final Link link;
    private final Message.Dispatch dispatch;
    private final HttpClient target;
    private final Consumer<TargetCall> whenFinished;
    private byte[] body;
    private int bodyReceived;
    private HttpExchange exchange;
    private long sent;
    private long credit = ProtocolLimits.INITIAL_RESPONSE_CREDIT_BYTES;
    private boolean run;
    private boolean finished;

    TargetCall(Link link, Message.Dispatch dispatch, HttpClient target, Consumer<TargetCall> whenFinished) {
        this.link = link;
        this.dispatch = dispatch;
        this.target = target;
        this.whenFinished = whenFinished;
        this.body = new byte[(int) dispatch.bodyBytes()];
    }

    Link link() {
        return link;
    }

    AttemptId attempt() {
        return dispatch.attempt();
    }

    long bodyBytes() {
        return dispatch.bodyBytes();
    }

    /** Returns the KV memory that the call can need, in tokens. */
    long kvTokens() {
        return dispatch.promptTokens() + dispatch.maxTokens();
    }

    synchronized boolean hasRun() {
        return run;
    }

    /** Adds a part of the body and tells whether the body is whole now. */
    synchronized boolean append(Message.BodyChunk chunk) {
        if (finished) {
            return false;
        }
        if (chunk.offset() != bodyReceived || bodyReceived + chunk.bytes().length > body.length) {
            fail(
                    ErrorKind.PROTOCOL_ERROR,
                    "body bytes at " + chunk.offset() + " instead of " + bodyReceived,
                    Outcome.NOT_RUN);
            return false;
        }
        System.arraycopy(chunk.bytes(), 0, body, bodyReceived, chunk.bytes().length);
        bodyReceived += chunk.bytes().length;
        return chunk.last();
    }

    /** Sends the call to the target. */
    synchronized void run() {
        run = true;
        if (finished) {
            return;
        }
        List<Header> headers = new ArrayList<>(dispatch.headers());
        headers.add(new Header("x-request-id", dispatch.attempt().toString()));
        headers.add(new Header("x-priority", Integer.toString(dispatch.priority())));
        exchange = target.send(dispatch.method(), dispatch.path(), headers, body, this);
    }

    synchronized void credit(int bytes) {
        credit += bytes;
        if (exchange != null && credit > 0) {
            exchange.pause(false);
        }
    }

    /** Ends the call because the sidecar stops, and tells the entry. */
    void stop() {
        end(() -> fail(
                ErrorKind.STOPPING,
                "the sidecar stopped before the answer was complete",
                run ? Outcome.UNKNOWN : Outcome.NOT_RUN));
    }

    void cancel() {
        end(() -> finished = true);
    }

    private void end(Runnable finish) {
        HttpExchange current;
        synchronized (this) {
            if (finished) {
                return;
            }
            finish.run();
            current = exchange;
        }
        if (current != null) {
            current.cancel();
        }
        whenFinished.accept(this);
    }

    @Override
    public synchronized void started(int status, List<Header> headers) {
        if (finished) {
            return;
        }
        body = new byte[0];
        List<Header> forwarded = headers.stream()
                .filter(header -> !CONNECTION_HEADERS.contains(header.name().toLowerCase(Locale.ROOT)))
                .limit(ProtocolLimits.MAX_HEADERS)
                .toList();
        link.send(new Message.ResponseHead(attempt(), status, forwarded));
    }

    @Override
    public synchronized void received(byte[] bytes) {
        if (finished) {
            return;
        }
        for (int from = 0; from < bytes.length; from += ProtocolLimits.MAX_CHUNK_BYTES) {
            int to = Math.min(bytes.length, from + ProtocolLimits.MAX_CHUNK_BYTES);
            send(Arrays.copyOfRange(bytes, from, to), false);
        }
        if (credit <= 0) {
            exchange.pause(true);
        }
    }

    @Override
    public void ended() {
        synchronized (this) {
            if (finished) {
                return;
            }
            send(new byte[0], true);
            finished = true;
        }
        whenFinished.accept(this);
    }

    @Override
    public void failed(boolean requestSent, String message) {
        synchronized (this) {
            if (finished) {
                return;
            }
            fail(ErrorKind.TARGET_FAILED, message, requestSent ? Outcome.UNKNOWN : Outcome.NOT_RUN);
        }
        whenFinished.accept(this);
    }

    private void send(byte[] bytes, boolean last) {
        link.send(new Message.BodyChunk(attempt(), sent, bytes, last));
        sent += bytes.length;
        credit -= bytes.length;
    }

    private void fail(ErrorKind kind, String message, Outcome outcome) {
        finished = true;
        link.send(new Message.AttemptFailed(attempt(), kind, message, outcome, 0));
    }
}
