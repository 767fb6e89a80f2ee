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
public final class DrainingHandler implements HttpHandler {
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofSeconds(1);
    private static final String LIVENESS_PATH = "/healthz";

    private final HttpHandler handler;
    private final Set<ActiveResponse> activeResponses = ConcurrentHashMap.newKeySet();
    private volatile boolean draining;

    /** Makes a gate before a handler. */
    public DrainingHandler(HttpHandler handler) {
        this.handler = handler;
    }

    /** Refuses new requests from now on; only the liveness check is answered. */
    public void drain() {
        draining = true;
    }

    /** Tells whether no admitted request runs. */
    public boolean isIdle() {
        return activeResponses.isEmpty();
    }

    /** Fails the requests that are left when the grace period is over. */
    public void failRemaining() {
        activeResponses.forEach(ActiveResponse::failAsStopped);
    }

    @Override
    public void handle(HttpRequestData request, ResponseSink response) {
        ActiveResponse active = new ActiveResponse(response);
        activeResponses.add(active);
        // The flag is read after the request was added, so that a drain either sees the request or refuses it.
        if (draining && !request.path().equals(LIVENESS_PATH)) {
            activeResponses.remove(active);
            ErrorResponses.send(response, stoppingFailure());
            return;
        }
        handler.handle(request, active);
    }

    private static Failure stoppingFailure() {
        return Failure.of(ErrorKind.STOPPING)
                .message("this entry daemon takes no new requests")
                .retryAfter(STOPPING_RETRY_AFTER)
                .build();
    }

    private static Failure incompleteResponseFailure() {
        return Failure.of(ErrorKind.STOPPING)
                .message("the entry daemon stopped before the answer was complete")
                .remedy("ask again if the call may be repeated")
                .outcome(Outcome.UNKNOWN)
                .build();
    }

    /** Response of an admitted request; what the handler writes after {@link #failAsStopped} is dropped. */
    private final class ActiveResponse implements ResponseSink {
        private final ResponseSink response;
        private Runnable disconnectAction = () -> {};
        private boolean started;
        private boolean eventStream;
        private boolean finished;

        ActiveResponse(ResponseSink response) {
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
            eventStream = headers.stream().anyMatch(DrainingHandler::isEventStream);
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
        void failAsStopped() {
            Runnable cancel;
            synchronized (this) {
                if (!finish()) {
                    return;
                }
                cancel = disconnectAction;
                if (!started) {
                    ErrorResponses.send(response, incompleteResponseFailure());
                } else if (eventStream) {
                    byte[] event = ("event: error\ndata: " + ErrorResponses.json(incompleteResponseFailure()) + "\n\n")
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
            activeResponses.remove(this);
            return first;
        }
    }

    private static boolean isEventStream(Header header) {
        return header.name().equalsIgnoreCase("content-type") && header.value().startsWith("text/event-stream");
    }
}
