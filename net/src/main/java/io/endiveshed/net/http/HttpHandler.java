package io.endiveshed.net.http;

/** Handles the requests of an {@link HttpServer}. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles a request, to which it may respond later; runs on the connection's event loop and must not block. */
    void handle(HttpRequestData request, ResponseSink response);
}
