package io.endiveshed.net.http.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.net.http.ClientMemory;
import io.endiveshed.net.http.HttpHandler;
import io.endiveshed.net.http.HttpServerLimits;
import io.netty.channel.ChannelHandlerContext;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/** State shared by the connections of one server: limits, handler, size of the buffered bodies, and counters. */
public final class ServerContext {
    /** Minimum time between two log lines of the same kind about clients. */
    private static final long LINE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final HttpServerLimits limits;
    private final HttpHandler handler;
    private final ServerConnections connections = new ServerConnections();
    private final ClientMemory memory;
    private final AtomicLong lastDropLineNanos = new AtomicLong(System.nanoTime() - LINE_INTERVAL_NANOS);
    private final AtomicLong lastErrorLineNanos = new AtomicLong(System.nanoTime() - LINE_INTERVAL_NANOS);
    private final Counter unexpectedCounter;
    private final Map<ClientMemory.Kind, Counter> droppedCounters = new EnumMap<>(ClientMemory.Kind.class);
    private final Counter bufferedBodyBytesMetric;
    private final Map<ErrorKind, Counter> rejectedCounters = new EnumMap<>(ErrorKind.class);

    /**
     * Creates a context that counts rejected requests in the registry as {@code http.rejected.<code>}, and the bytes of
     * bodies that are being received as {@code http.buffered_body_bytes}, over all servers of the registry. Clients that
     * are dropped for lack of memory are counted as {@code http.dropped_clients.<kind>}.
     */
    public ServerContext(HttpServerLimits limits, HttpHandler handler, ClientMemory memory, MetricRegistry registry) {
        this.limits = limits;
        this.memory = memory;
        this.handler = handler;
        this.bufferedBodyBytesMetric = registry.counter("http.buffered_body_bytes");
        this.unexpectedCounter = registry.counter("http.unexpected_errors");
        for (ClientMemory.Kind kind : ClientMemory.Kind.values()) {
            droppedCounters.put(kind, registry.counter("http.dropped_clients." + code(kind)));
        }
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

    /** Opens the share of a connection; the action drops its client on its event loop. Empty if there is no room. */
    Optional<ClientMemory.Share> openShare(ChannelHandlerContext ctx, ClientMemory.DropAction drop) {
        String address = ctx.channel().remoteAddress() instanceof InetSocketAddress remote
                ? remote.getAddress().getHostAddress()
                : "unknown";
        Optional<ClientMemory.Share> share = memory.open(address, shortage -> {
            if (ctx.executor().inEventLoop()) {
                drop.drop(shortage);
            } else {
                ctx.executor().execute(() -> drop.drop(shortage));
            }
        });
        if (share.isEmpty()) {
            reportDropped(ClientMemory.Kind.CONNECTION, address);
        }
        return share;
    }

    /** Adds to the number of bytes of bodies that are being received. */
    void countBufferedBody(long bytes) {
        bufferedBodyBytesMetric.inc(bytes);
    }

    /** Counts a client that was dropped for lack of memory, and writes at most one line in each interval. */
    void reportDropped(ClientMemory.Kind shortage, String address) {
        droppedCounters.get(shortage).inc();
        if (mayWriteLine(lastDropLineNanos)) {
            Logger.warn(
                    "client {} dropped for lack of memory for {}; {} were dropped since the start; all hold {} bytes",
                    address,
                    code(shortage),
                    droppedCounters.values().stream()
                            .mapToLong(Counter::getCount)
                            .sum(),
                    memory.totalBytes());
        }
    }

    /** Counts an unexpected error that closes a connection, and writes at most one of them in each interval. */
    void reportUnexpected(SocketAddress address, Throwable cause) {
        unexpectedCounter.inc();
        if (mayWriteLine(lastErrorLineNanos)) {
            Logger.error(cause, "connection from {} closed by an unexpected error", address);
        }
    }

    private static boolean mayWriteLine(AtomicLong lastNanos) {
        long now = System.nanoTime();
        long last = lastNanos.get();
        return now - last >= LINE_INTERVAL_NANOS && lastNanos.compareAndSet(last, now);
    }

    private static String code(ClientMemory.Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
