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

/** HTTP server for {@code /metrics} and {@code /healthz} of a sidecar, without authentication. */
public final class SidecarMetricsServer {
    private final HttpServer server;
    private final MetricsPage page;

    /** Creates a server that listens once started. */
    public SidecarMetricsServer(EventLoopGroup loops, InetSocketAddress address, MetricRegistry metrics) {
        this.page = new MetricsPage(metrics);
        this.server = new HttpServer(loops, address, HttpServerLimits.defaults(), this::answer, metrics);
    }

    /** Registers gauges for the dropped, running and queued calls of a target. */
    public static void registerGauges(TargetCalls calls, MetricRegistry metrics) {
        Gauge<Long> dropped = calls::droppedFrames;
        Gauge<Integer> running = () -> calls.loadReport(link -> false, 0).running();
        Gauge<Integer> queued = () -> calls.loadReport(link -> false, 0).queued();
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
            case "/metrics" -> respondText(response, page.text());
            case "/healthz" -> respondText(response, "ok\n");
            default ->
                ErrorResponses.send(
                        response,
                        Failure.of(ErrorKind.NOT_FOUND)
                                .message("no such path: " + request.path())
                                .remedy("use /metrics or /healthz")
                                .build());
        }
    }

    private static void respondText(ResponseSink response, String text) {
        response.respond(200, List.of(new Header("content-type", "text/plain")), text.getBytes(StandardCharsets.UTF_8));
    }
}
