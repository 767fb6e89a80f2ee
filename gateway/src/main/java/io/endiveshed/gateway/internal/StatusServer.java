package io.endiveshed.gateway.internal;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.gateway.GatewaySettings;
import io.endiveshed.net.http.HttpHandler;
import io.endiveshed.net.http.HttpServer;
import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.net.http.MetricsPage;
import io.endiveshed.protocol.Header;
import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Answers readiness checks and serves metrics, each on an address of its own. */
public final class StatusServer {
    private static final List<Header> TEXT = List.of(new Header("content-type", "text/plain; charset=utf-8"));
    private static final int READY = 200;
    private static final int NOT_READY = 503;

    private final HttpServer ready;
    private final HttpServer metrics;

    /** Makes a server that listens once started. */
    public StatusServer(
            EventLoopGroup loops, GatewaySettings settings, BooleanSupplier isReady, MetricRegistry registry) {
        MetricsPage page = new MetricsPage(registry);
        HttpHandler readiness = (request, response) -> {
            boolean value = isReady.getAsBoolean();
            response.respond(value ? READY : NOT_READY, TEXT, utf8(value ? "ready\n" : "not ready\n"));
        };
        this.ready = new HttpServer(loops, settings.ready(), HttpServerLimits.defaults(), readiness);
        this.metrics = new HttpServer(
                loops,
                settings.metrics(),
                HttpServerLimits.defaults(),
                (request, response) -> response.respond(READY, TEXT, utf8(page.text())));
    }

    /** Starts to listen. */
    public void start() {
        ready.start();
        metrics.start();
    }

    /** Stops listening. */
    public void stop() {
        ready.stop();
        metrics.stop();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
