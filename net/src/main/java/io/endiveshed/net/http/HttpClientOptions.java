package io.endiveshed.net.http;

import java.time.Duration;

/**
 * Options for the connections of an {@link HttpClient}.
 *
 * @param connectTimeout maximum time to open a connection
 * @param maxIdle time after which an idle connection is closed; shorter than the server's idle timeout, so that the
 *     server does not close a connection while a request is on its way
 * @param keepAliveMargin time that is subtracted from an idle timeout that the server announces in {@code Keep-Alive}
 * @param reuse whether a connection may carry several requests, one after the other
 */
public record HttpClientOptions(Duration connectTimeout, Duration maxIdle, Duration keepAliveMargin, boolean reuse) {
    /** Creates options for connections that are reused. */
    public HttpClientOptions(Duration connectTimeout, Duration maxIdle, Duration keepAliveMargin) {
        this(connectTimeout, maxIdle, keepAliveMargin, true);
    }

    /** Returns options for servers of this system, whose idle timeout is one minute. */
    public static HttpClientOptions defaults() {
        return new HttpClientOptions(Duration.ofSeconds(2), Duration.ofSeconds(50), Duration.ofSeconds(1));
    }

    /**
     * Returns options for a server whose responses do not name their request: a late second copy of a response could be
     * taken for the response to the next request on the same connection.
     */
    public static HttpClientOptions withoutReuse(Duration connectTimeout) {
        Duration untilFirstRequest = defaults().maxIdle();
        return new HttpClientOptions(connectTimeout, untilFirstRequest, Duration.ZERO, false);
    }
}
