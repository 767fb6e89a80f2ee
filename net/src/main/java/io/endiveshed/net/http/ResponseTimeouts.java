package io.endiveshed.net.http;

import java.time.Duration;

/**
 * Times within which the response to a call must arrive. After the response timeout, an incomplete response fails unless
 * its body makes progress: no pause exceeds the pause timeout, and the average rate is not below the minimum. A large body
 * on a slow link therefore gets the time that it needs, and a server that stops sending is noticed.
 *
 * <pre>{@code
 * ResponseTimeouts timeouts = ResponseTimeouts.progressing(Duration.ofSeconds(2), Duration.ofMillis(700));
 * }</pre>
 *
 * @param response time after the start of the call from which the body must make progress
 * @param pause maximum time between two parts of the body from then on; zero if the response must be complete by then
 * @param minBytesPerSecond minimum average rate of the body from then on, in bytes per second
 */
public record ResponseTimeouts(Duration response, Duration pause, int minBytesPerSecond) {
    /** Minimum average rate in bytes per second, unless another one is given; a slower connection counts as lost. */
    private static final int DEFAULT_MIN_BYTES_PER_SECOND = 64 * 1024;

    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    /** Throws {@link IllegalArgumentException} if a time is negative or the rate is not positive. */
    public ResponseTimeouts {
        if (response.isNegative() || pause.isNegative() || minBytesPerSecond <= 0) {
            throw new IllegalArgumentException("timeouts must not be negative and the rate must be positive, but were "
                    + response + ", " + pause + " and " + minBytesPerSecond);
        }
    }

    /** Returns timeouts of a response that must be complete after a fixed time, whatever its size. */
    public static ResponseTimeouts fixed(Duration response) {
        return new ResponseTimeouts(response, Duration.ZERO, Integer.MAX_VALUE);
    }

    /** Returns timeouts of a response whose body may take longer while it makes progress. */
    public static ResponseTimeouts progressing(Duration response, Duration pause) {
        return new ResponseTimeouts(response, pause, DEFAULT_MIN_BYTES_PER_SECOND);
    }

    /**
     * Returns the time in nanoseconds after which an incomplete response fails if nothing more arrives; not positive if
     * it has failed.
     *
     * @param elapsedNanos time since the start of the call
     * @param idleNanos time since the last part of the body arrived, or since the start of the call
     * @param receivedBytes number of bytes of the body that have arrived
     */
    long remainingNanos(long elapsedNanos, long idleNanos, long receivedBytes) {
        long untilTimeout = response.toNanos() - elapsedNanos;
        if (receivedBytes == 0) {
            return untilTimeout;
        }
        long untilPause = pause.toNanos() - idleNanos;
        long untilTooSlow = untilTimeout + receivedBytes * NANOS_PER_SECOND / minBytesPerSecond;
        return Math.max(untilTimeout, Math.min(untilPause, untilTooSlow));
    }
}
