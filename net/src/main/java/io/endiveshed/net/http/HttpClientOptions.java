package io.endiveshed.net.http;

import java.time.Duration;

/**
 * How a client treats its connections.
 *
 * @param connectTimeout time to open a connection
 * @param maxIdle time for which an unused connection is kept; shorter than the server's own limit, so that a request
 *     does not cross the server's close
 * @param keepAliveMargin time by which a limit that the server announces in {@code Keep-Alive} is shortened
 */
public record HttpClientOptions(Duration connectTimeout, Duration maxIdle, Duration keepAliveMargin) {
    /** Returns the options for servers within the system, which keep idle connections for a minute. */
    public static HttpClientOptions defaults() {
        return new HttpClientOptions(Duration.ofSeconds(2), Duration.ofSeconds(50), Duration.ofSeconds(1));
    }
}
