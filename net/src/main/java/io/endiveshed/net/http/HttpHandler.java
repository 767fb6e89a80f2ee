package io.endiveshed.net.http;

/** Answers HTTP requests. */
@FunctionalInterface
public interface HttpHandler {
    /** Answers a request, now or later; runs on the connection's event loop and must not block. */
    void handle(HttpRequestData request, ResponseSink response);
}
