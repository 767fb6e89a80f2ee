package io.endiveshed.entry.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.net.http.ErrorResponses;
import io.endiveshed.net.http.HttpHandler;
import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stands before the caller interface: refuses new requests once draining and knows those that still run. */
public final class DrainGate implements HttpHandler {
    private static final Duration RETRY_ELSEWHERE = Duration.ofSeconds(1);
    private static final String LIVENESS_PATH = "/healthz";

    private final HttpHandler handler;
    private final Set<Running> running = ConcurrentHashMap.newKeySet();
    private volatile boolean draining;

    /** Makes a gate before a handler. */
    public DrainGate(HttpHandler handler) {
        this.handler = handler;
    }

    /** Refuses new requests from now on; only the liveness check is answered. */
    public void drain() {
        draining = true;
    }

    /** Tells whether no admitted request runs. */
    public boolean isIdle() {
        return running.isEmpty();
    }

    /** Fails the requests that are left when the grace period is over. */
    public void failRemaining() {
        running.forEach(Running::stop);
    }

    @Override
    public void handle(HttpRequestData request, ResponseSink response) {
        Running admitted = new Running(response);
        running.add(admitted);
        // The flag is read after the request was added, so that a drain either sees the request or refuses it.
        if (draining && !request.path().equals(LIVENESS_PATH)) {
            running.remove(admitted);
            ErrorResponses.send(response, refusal());
            return;
        }
        handler.handle(request, admitted);
    }

    private static Failure refusal() {
        return Failure.of(ErrorKind.STOPPING)
                .message("this entry daemon takes no new requests")
                .retryAfter(RETRY_ELSEWHERE)
                .build();
    }

    private static Failure cutOff() {
        return Failure.of(ErrorKind.STOPPING)
                .message("the entry daemon stopped before the answer was complete")
                .remedy("ask again if the call may be repeated")
                .outcome(Outcome.UNKNOWN)
                .build();
    }

    /** Response of an admitted request; what the handler writes after {@link #stop} is dropped. */
    private final class Running implements ResponseSink {
        private final ResponseSink response;
        private Runnable disconnectAction = () -> {};
        private boolean started;
        private boolean streams;
        private boolean finished;

        Running(ResponseSink response) {
            this.response = response;
        }

        @Override
        public synchronized void respond(int status, List<Header> headers, byte[] body) {
            if (finish()) {
                response.respond(status, headers, body);
            }
        }

        @Override
        public synchronized void start(int status, List<Header> headers) {
            started = true;
            streams = headers.stream().anyMatch(DrainGate::isEventStream);
            if (!finished) {
                response.start(status, headers);
            }
        }

        @Override
        public synchronized void write(byte[] bytes, Runnable whenWritten) {
            if (!finished) {
                response.write(bytes, whenWritten);
            }
        }

        @Override
        public synchronized void end() {
            if (finish()) {
                response.end();
            }
        }

        @Override
        public synchronized void abort() {
            if (finish()) {
                response.abort();
            }
        }

        @Override
        public void onDisconnect(Runnable action) {
            synchronized (this) {
                disconnectAction = action;
            }
            response.onDisconnect(() -> {
                finish();
                action.run();
            });
        }

        /** Ends the response with a failure and has the work cancelled as if the caller had gone. */
        void stop() {
            Runnable cancel;
            synchronized (this) {
                if (!finish()) {
                    return;
                }
                cancel = disconnectAction;
                if (!started) {
                    ErrorResponses.send(response, cutOff());
                } else if (streams) {
                    byte[] event = ("event: error\ndata: " + ErrorResponses.json(cutOff()) + "\n\n")
                            .getBytes(StandardCharsets.UTF_8);
                    response.write(event, response::abort);
                } else {
                    response.abort();
                }
            }
            cancel.run();
        }

        private synchronized boolean finish() {
            boolean first = !finished;
            finished = true;
            running.remove(this);
            return first;
        }
    }

    private static boolean isEventStream(Header header) {
        return header.name().equalsIgnoreCase("content-type") && header.value().startsWith("text/event-stream");
    }
}
