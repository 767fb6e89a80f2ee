package io.endiveshed.gateway.internal;

import io.endiveshed.gateway.GatewaySettings;
import io.endiveshed.gateway.RequestDialect;
import io.endiveshed.gateway.TargetResponseHead;
import io.endiveshed.net.http.HttpResponseListener;
import io.endiveshed.protocol.Header;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.OptionalLong;

/**
 * Response of one target to one attempt. Events of a successful stream are relayed as soon as they are complete; any
 * other response is buffered until it is complete, so that a broken one can be replaced by the response of another
 * target.
 */
final class TargetResponse implements HttpResponseListener {
    private final Listener listener;
    private final TargetRuntime target;
    private final RequestDialect dialect;
    private final boolean isStreaming;
    private final ResponseRelay relay;
    private final GatewaySettings.ResponseLimits limits;
    private final ResponseMemory.Share memory;
    private final SseEventSplitter events = new SseEventSplitter();
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private final long sentNanos = System.nanoTime();
    private TargetResponseHead head;
    private List<Header> headers = List.of();
    private boolean isOver;

    TargetResponse(
            Listener listener,
            TargetRuntime target,
            RequestDialect dialect,
            boolean isStreaming,
            ResponseRelay relay,
            ResponseMemory responseMemory) {
        this.listener = listener;
        this.target = target;
        this.dialect = dialect;
        this.isStreaming = isStreaming;
        this.relay = relay;
        this.limits = responseMemory.limits();
        this.memory = responseMemory.newShare();
    }

    /** Returns the target that sends the response. */
    TargetRuntime target() {
        return target;
    }

    /** Returns a time in nanoseconds at which the request had not been written yet. */
    long sentNanos() {
        return sentNanos;
    }

    /** Returns the decoded head; null until it has arrived. */
    TargetResponseHead head() {
        return head;
    }

    @Override
    public void started(int status, List<Header> responseHeaders) {
        head = dialect.decodeResponseHead(status, responseHeaders);
        headers = responseHeaders;
        listener.headArrived(this);
        if (head.isSuccess() && !head.isAuthentic()) {
            fail("the successful response lacks the target's signature");
        }
    }

    @Override
    public void received(byte[] bytes) {
        if (isOver) {
            return;
        }
        if (!isStreaming || !head.isSuccess()) {
            buffer(bytes);
            return;
        }
        OptionalLong previousId = events.eventCount() > 0 ? events.lastId() : relay.lastEventId();
        byte[] wholeEvents = events.append(bytes);
        if (events.partialEventBytes() > limits.maxEventBytes()) {
            fail("an event exceeds " + limits.maxEventBytes() + " bytes");
            return;
        }
        if (!hold(events.partialEventBytes()) || wholeEvents.length == 0) {
            return;
        }
        if (!isConsecutiveTo(previousId)) {
            fail("the event ids are not consecutive after " + previousId);
            return;
        }
        listener.eventsArrived(this);
        relay.write(head.status(), headers, wholeEvents, events.lastId());
    }

    @Override
    public void ended() {
        if (isOver) {
            return;
        }
        if (events.hasPartialEvent()) {
            fail("the stream ended in the middle of an event");
            return;
        }
        isOver = true;
        memory.release();
        if (head.isSuccess()) {
            listener.succeeded(this);
        } else {
            listener.targetFailed(this);
        }
    }

    @Override
    public void failed(boolean sent, String message) {
        if (!isOver) {
            ignore();
            listener.exchangeBroken(this, sent, message);
        }
    }

    /** Ignores everything that arrives from now on. */
    void ignore() {
        isOver = true;
        memory.release();
    }

    /** Sends the caller the rest of the response: the end of a relayed stream, or a buffered response. */
    void deliver() {
        if (isStreaming && head.isSuccess()) {
            relay.end(head.status(), headers);
        } else {
            relay.respond(head.status(), headers, buffer.toByteArray());
        }
    }

    /** Returns whether no event id was skipped or repeated since the event with the given id. */
    private boolean isConsecutiveTo(OptionalLong previousId) {
        if (previousId.isEmpty() || events.firstIdOfLastAppend().isEmpty()) {
            return true;
        }
        return events.firstIdOfLastAppend().getAsLong() == previousId.getAsLong() + 1 && events.isContinuous();
    }

    private void buffer(byte[] bytes) {
        long length = (long) buffer.size() + bytes.length;
        if (length > limits.maxBufferedBytes()) {
            fail("the response exceeds " + limits.maxBufferedBytes() + " bytes");
        } else if (hold(length)) {
            buffer.writeBytes(bytes);
        }
    }

    /** Accounts for the bytes that this response holds; fails it if all responses together hold too much. */
    private boolean hold(long bytes) {
        boolean isGranted = memory.tryResize(bytes);
        if (!isGranted) {
            fail("the incomplete responses of all targets exceed " + limits.maxHeldBytes() + " bytes");
        }
        return isGranted;
    }

    private void fail(String message) {
        ignore();
        listener.exchangeBroken(this, true, message);
    }

    /** Receives the progress and the result of a response, on the event loop of the request. */
    interface Listener {
        /** Called when the head has arrived, also for responses that are ignored otherwise. */
        void headArrived(TargetResponse from);

        /** Called before complete events of a successful stream are relayed. */
        void eventsArrived(TargetResponse from);

        /** Called when a successful response is complete. */
        void succeeded(TargetResponse from);

        /** Called when an error response of the target is complete. */
        void targetFailed(TargetResponse from);

        /**
         * Called when there will be no complete response.
         *
         * @param from the response
         * @param sent whether any byte of the request may have reached the target
         * @param message cause
         */
        void exchangeBroken(TargetResponse from, boolean sent, String message);
    }
}
