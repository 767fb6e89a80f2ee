package io.endiveshed.standins;

import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.HttpServer;
import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Plain service that counts bookings: {@code POST /bookings} executes a booking and {@code GET /bookings} returns the
 * number of bookings.
 */
public final class BookingStandIn {
    private static final Header JSON = new Header("content-type", "application/json");

    private final HttpServer server;
    private final AtomicLong bookingCount = new AtomicLong();

    /** Creates a service that listens on the address after {@link #start}. */
    public BookingStandIn(EventLoopGroup loops, InetSocketAddress address) {
        this.server = new HttpServer(loops, address, HttpServerLimits.defaults(), this::handle);
    }

    /** Binds the address and starts listening. */
    public void start() {
        server.start();
    }

    /** Returns the port that the service listens on. */
    public int port() {
        return server.port();
    }

    /** Returns the number of executed bookings. */
    public long bookingCount() {
        return bookingCount.get();
    }

    /** Stops listening for connections. */
    public void stop() {
        server.stop();
    }

    private void handle(HttpRequestData request, ResponseSink response) {
        if (!request.path().equals("/bookings")) {
            respond(response, 404, "{\"error\":\"no such path\"}");
        } else if (request.method().equals("POST")) {
            respond(response, 200, "{\"booking\": " + bookingCount.incrementAndGet() + "}");
        } else {
            respond(response, 200, "{\"count\": " + bookingCount.get() + "}");
        }
    }

    private static void respond(ResponseSink response, int status, String body) {
        response.respond(status, List.of(JSON), body.getBytes(StandardCharsets.UTF_8));
    }
}
