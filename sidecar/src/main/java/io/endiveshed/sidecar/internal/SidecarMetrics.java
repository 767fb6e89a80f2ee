package io.endiveshed.sidecar.internal;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.net.http.ErrorResponses;
import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.HttpServer;
import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.net.http.MetricsPage;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Serves {@code /metrics} and {@code /healthz} of a sidecar over HTTP, without authentication. */
public final class SidecarMetrics {
    private final HttpServer server;
    private final MetricsPage page;

    /** Makes a server that listens once started. */
    public SidecarMetrics(EventLoopGroup loops, InetSocketAddress address, MetricRegistry metrics) {
        this.page = new MetricsPage(metrics);
        this.server = new HttpServer(loops, address, HttpServerLimits.defaults(), this::answer, metrics);
    }

    /** Publishes the figures of the calls of a target as gauges. */
    public static void publish(TargetCalls calls, MetricRegistry metrics) {
        Gauge<Long> dropped = calls::droppedFrames;
        Gauge<Integer> running = () -> calls.report(link -> false, 0).running();
        Gauge<Integer> queued = () -> calls.report(link -> false, 0).queued();
        metrics.register("sidecar.dropped_frames", dropped);
        metrics.register("sidecar.running", running);
        metrics.register("sidecar.queued", queued);
    }

    /** Starts to listen. */
    public void start() {
        server.start();
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return server.port();
    }

    /** Stops listening and closes the open connections. */
    public void stop() {
        server.stop();
        server.closeConnections();
    }

    private void answer(HttpRequestData request, ResponseSink response) {
        switch (request.path()) {
            case "/metrics" -> text(response, page.text());
            case "/healthz" -> text(response, "ok\n");
            default ->
                ErrorResponses.send(
                        response,
                        Failure.of(ErrorKind.NOT_FOUND)
                                .message("no such path: " + request.path())
                                .remedy("use /metrics or /healthz")
                                .build());
        }
    }

    private static void text(ResponseSink response, String text) {
        response.respond(200, List.of(new Header("content-type", "text/plain")), text.getBytes(StandardCharsets.UTF_8));
    }
}
