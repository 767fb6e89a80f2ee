package io.endiveshed.net.http;

import java.time.Duration;

/**
 * Limits on what a caller may send.
 *
 * @param maxHeaderBytes longest request line and longest header section in bytes
 * @param maxBodyBytes longest body in bytes
 * @param headerTimeout time from the first byte of a request to the end of its header section
 * @param bodyTimeout time in which a body must grow by {@code minBodyBytesPerSecond} for each second, or be whole; it
 *     limits the rate and not the whole time, so that a long prompt may arrive slowly but steadily
 * @param minBodyBytesPerSecond lowest rate of a body in bytes per second
 * @param maxBufferedBodyBytes most bytes of request bodies that are held for all connections together
 */
public record HttpServerLimits(
        int maxHeaderBytes,
        int maxBodyBytes,
        Duration headerTimeout,
        Duration bodyTimeout,
        int minBodyBytesPerSecond,
        long maxBufferedBodyBytes) {
    /** Default rate: a body of 16 MiB takes at most 35 minutes, and a poor mobile connection is faster. */
    public static final int DEFAULT_MIN_BODY_BYTES_PER_SECOND = 8 * 1024;

    /** Default total: 16 bodies of the greatest length, in a process that is given a heap of 1 GiB or more. */
    public static final long DEFAULT_MAX_BUFFERED_BODY_BYTES = 256L * 1024 * 1024;

    /** Makes limits with the default rate and total of bodies. */
    public HttpServerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration bodyTimeout) {
        this(
                maxHeaderBytes,
                maxBodyBytes,
                headerTimeout,
                bodyTimeout,
                DEFAULT_MIN_BODY_BYTES_PER_SECOND,
                DEFAULT_MAX_BUFFERED_BODY_BYTES);
    }

    /** Returns limits that fit prompts of a million tokens. */
    public static HttpServerLimits defaults() {
        return new HttpServerLimits(16 * 1024, 16 * 1024 * 1024, Duration.ofSeconds(10), Duration.ofSeconds(10));
    }

    /** Returns how many bytes of a body must arrive in each {@link #bodyTimeout}. */
    public long minBodyBytesPerTimeout() {
        return bodyTimeout.toMillis() * minBodyBytesPerSecond / 1000;
    }
}
