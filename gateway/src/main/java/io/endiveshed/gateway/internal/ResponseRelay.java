package io.endiveshed.gateway.internal;

import io.endiveshed.gateway.RequestDialect;
import io.endiveshed.net.http.HttpExchange;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Writes the response to a caller, which may be a stream that several targets produced one after the other. Confined
 * to one event loop.
 */
final class ResponseRelay {
    /** Bytes that may be buffered for a slow caller before reading from the target is paused. */
    private static final int MAX_BUFFERED_BYTES = 128 * 1024;

    private final ResponseSink sink;
    private final RequestDialect dialect;
    private HttpExchange exchange;
    private OptionalLong lastEventId;
    private boolean hasStarted;
    private int bufferedBytes;
    private boolean isPaused;
    private long lastWriteNanos;
    private long maxPauseNanos;

    ResponseRelay(ResponseSink sink, RequestDialect dialect, OptionalLong lastEventId) {
        this.sink = sink;
        this.dialect = dialect;
        this.lastEventId = lastEventId;
    }

    /** Sets the exchange whose events are relayed from now on. */
    void setExchange(HttpExchange value) {
        exchange = value;
        isPaused = false;
    }

    /** Returns whether any part of the response was sent to the caller. */
    boolean hasStarted() {
        return hasStarted;
    }

    /** Returns the id of the last event that was sent to the caller, or that the caller had before it resumed. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Returns whether another target can continue after the last event sent, which needs the id of that event. */
    boolean canContinue() {
        return lastEventId.isPresent();
    }

    /** Returns the {@link System#nanoTime} at which the last event was sent; 0 if none was. */
    long lastWriteNanos() {
        return lastWriteNanos;
    }

    /** Returns the longest time between two events so far, in milliseconds. */
    long maxPauseMillis() {
        return TimeUnit.NANOSECONDS.toMillis(maxPauseNanos);
    }

    /** Sends whole events. Status and header fields of the first target hold for the complete response. */
    void write(int status, List<Header> headers, byte[] events, OptionalLong lastId) {
        if (!hasStarted) {
            hasStarted = true;
            sink.start(status, dialect.callerHeaders(headers));
        }
        recordPause(System.nanoTime());
        lastEventId = lastId;
        bufferedBytes += events.length;
        if (bufferedBytes > MAX_BUFFERED_BYTES && !isPaused) {
            isPaused = true;
            exchange.setPaused(true);
        }
        sink.write(events, () -> eventsWritten(events.length));
    }

    /** Ends the stream; starts it first if no event was sent. */
    void end(int status, List<Header> headers) {
        if (!hasStarted) {
            hasStarted = true;
            sink.start(status, dialect.callerHeaders(headers));
        }
        sink.end();
    }

    /** Sends a complete response. */
    void respond(int status, List<Header> headers, byte[] body) {
        sink.respond(status, dialect.callerHeaders(headers), body);
    }

    private void recordPause(long nowNanos) {
        if (lastWriteNanos != 0) {
            maxPauseNanos = Math.max(maxPauseNanos, nowNanos - lastWriteNanos);
        }
        lastWriteNanos = nowNanos;
    }

    private void eventsWritten(int bytes) {
        bufferedBytes -= bytes;
        if (isPaused && bufferedBytes <= MAX_BUFFERED_BYTES / 2) {
            isPaused = false;
            exchange.setPaused(false);
        }
    }
}
