package io.endiveshed.sidecar.internal;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.coordination.claim.ClaimKey;
import io.endiveshed.coordination.claim.ClaimLog;
import io.endiveshed.coordination.claim.StoredResponse;
import io.endiveshed.net.http.HttpResponseListener;
import io.endiveshed.protocol.Header;
import java.io.ByteArrayOutputStream;
import java.util.List;

/**
 * Guard of a call with an idempotency key: its claim decides whether it runs, and its response is written to the claim
 * log.
 */
final class ClaimGuard implements ExecutionGuard {
    private final ClaimLog log;
    private final ClaimKey key;
    private final AttemptId attempt;
    private final long deadlineNanos;
    private final ClaimGate gate;
    private State state = State.CLAIMING;

    /** Creates a guard; the call may not start at or after {@code deadlineNanos} of the gate's clock. */
    ClaimGuard(ClaimGate gate, ClaimLog log, ClaimKey key, AttemptId attempt, long deadlineNanos) {
        this.gate = gate;
        this.log = log;
        this.key = key;
        this.attempt = attempt;
        this.deadlineNanos = deadlineNanos;
    }

    private enum State {
        /** The claim is undecided, or it is granted and the call waits in the queue. */
        CLAIMING,
        /** The claim was refused, so no claim has to be released. */
        REFUSED,
        /** The call may have reached the target. */
        STARTED,
        /** The call has not reached the target and never will. */
        DROPPED
    }

    /** Records that the claim was refused; has no effect once the call is started or dropped. */
    synchronized void markRefused() {
        if (state == State.CLAIMING) {
            state = State.REFUSED;
        }
    }

    /** Returns whether the deadline of the call has passed. */
    boolean isOverdue() {
        return gate.clock().nanoTime() - deadlineNanos >= 0;
    }

    @Override
    public synchronized boolean tryStart() {
        // After a pause of the process, the entry may have answered its caller already, so an overdue call must not
        // start.
        if (state != State.CLAIMING || isOverdue() || !log.tryStart(attempt)) {
            return false;
        }
        state = State.STARTED;
        return true;
    }

    @Override
    public synchronized boolean tryDrop() {
        if (state == State.CLAIMING) {
            state = log.tryDrop(key, attempt) ? State.DROPPED : State.STARTED;
        }
        return state != State.STARTED;
    }

    @Override
    public boolean mustFinishWithoutEntry() {
        return true;
    }

    @Override
    public HttpResponseListener recordResponse(HttpResponseListener listener) {
        return new ResponseRecorder(listener);
    }

    /** Releases the claim of a call that provably did not reach the target. */
    private void releaseClaim() {
        synchronized (this) {
            state = State.DROPPED;
        }
        log.release(key, attempt);
    }

    /** Collects the response for the claim log while passing it on to the listener. */
    private final class ResponseRecorder implements HttpResponseListener {
        private final HttpResponseListener listener;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private List<Header> headers = List.of();
        private boolean bodyTooLong;

        private ResponseRecorder(HttpResponseListener listener) {
            this.listener = listener;
        }

        @Override
        public void started(int newStatus, List<Header> newHeaders) {
            status = newStatus;
            headers = newHeaders;
            listener.started(newStatus, newHeaders);
        }

        @Override
        public void received(byte[] bytes) {
            bodyTooLong |= body.size() + bytes.length > ClaimGate.MAX_STORED_BODY_BYTES;
            if (!bodyTooLong) {
                body.write(bytes, 0, bytes.length);
            }
            listener.received(bytes);
        }

        @Override
        public void ended() {
            StoredResponse response = bodyTooLong
                    ? StoredResponse.statusOnly(status)
                    : StoredResponse.of(
                            status,
                            headers.stream()
                                    .map(header -> new StoredResponse.HeaderField(header.name(), header.value()))
                                    .toList(),
                            body.toByteArray());
            gate.trackWrite(log.complete(key, attempt, response));
            listener.ended();
        }

        @Override
        public void failed(boolean requestSent, String message) {
            if (!requestSent) {
                releaseClaim();
            }
            listener.failed(requestSent, message);
        }
    }
}
