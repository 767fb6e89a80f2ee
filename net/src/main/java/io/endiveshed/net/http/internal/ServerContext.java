package io.endiveshed.net.http.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.net.http.HttpHandler;
import io.endiveshed.net.http.HttpServerLimits;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** State shared by the connections of one server: limits, handler, size of the buffered bodies, and counters. */
public final class ServerContext {
    private final HttpServerLimits limits;
    private final HttpHandler handler;
    private final ServerConnections connections = new ServerConnections();
    private final AtomicLong bufferedBodyBytes = new AtomicLong();
    private final Counter bufferedBodyBytesMetric;
    private final Map<ErrorKind, Counter> rejectedCounters = new EnumMap<>(ErrorKind.class);

    /**
     * Creates a context that counts rejected requests in the registry as {@code http.rejected.<code>}, and the bytes of
     * bodies that are being received as {@code http.buffered_body_bytes}, over all servers of the registry.
     */
    public ServerContext(HttpServerLimits limits, HttpHandler handler, MetricRegistry registry) {
        this.limits = limits;
        this.handler = handler;
        this.bufferedBodyBytesMetric = registry.counter("http.buffered_body_bytes");
        for (ErrorKind kind : ErrorKind.values()) {
            rejectedCounters.put(kind, registry.counter("http.rejected." + kind.code()));
        }
    }

    /** Returns the open connections. */
    public ServerConnections connections() {
        return connections;
    }

    HttpServerLimits limits() {
        return limits;
    }

    HttpHandler handler() {
        return handler;
    }

    void countRejected(ErrorKind kind) {
        rejectedCounters.get(kind).inc();
    }

    /**
     * Adds a part of a body to the buffered bytes; returns false, and adds nothing, if the total would exceed the
     * limit.
     */
    boolean tryReserveBodyBytes(int bytes) {
        if (bufferedBodyBytes.addAndGet(bytes) <= limits.maxBufferedBodyBytes()) {
            bufferedBodyBytesMetric.inc(bytes);
            return true;
        }
        bufferedBodyBytes.addAndGet(-bytes);
        return false;
    }

    void releaseBodyBytes(long bytes) {
        bufferedBodyBytes.addAndGet(-bytes);
        bufferedBodyBytesMetric.dec(bytes);
    }
}
