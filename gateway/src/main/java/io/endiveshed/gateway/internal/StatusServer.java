package io.endiveshed.gateway.internal;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.gateway.GatewaySettings;
import io.endiveshed.net.http.ClientMemory;
import io.endiveshed.net.http.ClientMemoryLimits;
import io.endiveshed.net.http.HttpHandler;
import io.endiveshed.net.http.HttpServer;
import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.net.http.MetricsPage;
import io.endiveshed.protocol.Header;
import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * HTTP servers for readiness checks and for metrics, each on its own address. Their clients have a budget of memory apart
 * from that of callers, so that neither can take it from the other.
 */
public final class StatusServer {
    private static final List<Header> TEXT_HEADERS = List.of(new Header("content-type", "text/plain; charset=utf-8"));
    private static final int OK_STATUS = 200;
    private static final int UNAVAILABLE_STATUS = 503;

    /** Memory for bodies of clients of both servers, which need none. */
    private static final long MIN_BODY_BYTES = 4 * 1024 * 1024;

    /** Connections of both servers; checkers and collectors of metrics are few, and callers need the descriptors. */
    private static final int MAX_CONNECTIONS = 128;

    private final HttpServer readinessServer;
    private final HttpServer metricsServer;

    /** Creates the servers; {@link #start} makes them listen. */
    public StatusServer(
            EventLoopGroup loops, GatewaySettings settings, BooleanSupplier isReady, MetricRegistry registry) {
        MetricsPage page = new MetricsPage(registry);
        HttpHandler readinessHandler = (request, response) -> {
            boolean ready = isReady.getAsBoolean();
            response.respond(
                    ready ? OK_STATUS : UNAVAILABLE_STATUS, TEXT_HEADERS, utf8(ready ? "ready\n" : "not ready\n"));
        };
        HttpServerLimits limits = settings.clients();
        ClientMemory memory = new ClientMemory(
                ClientMemoryLimits.ofBodies(Math.max(MIN_BODY_BYTES, limits.maxBodyBytes()))
                        .withMaxConnections(MAX_CONNECTIONS),
                System::nanoTime);
        this.readinessServer = new HttpServer(loops, settings.ready(), limits, readinessHandler, memory, registry);
        this.metricsServer = new HttpServer(
                loops,
                settings.metrics(),
                limits,
                (request, response) -> response.respond(OK_STATUS, TEXT_HEADERS, utf8(page.text())),
                memory,
                registry);
    }

    /** Starts to listen. */
    public void start() {
        readinessServer.start();
        metricsServer.start();
    }

    /** Stops listening. */
    public void stop() {
        readinessServer.stop();
        metricsServer.stop();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
