package io.endiveshed.gateway;

import io.endiveshed.gateway.internal.GatewayParts;
import io.endiveshed.net.http.HttpServer;
import java.time.Duration;

/** The steps of a graceful shutdown. */
final class GracefulStop {
    /**
     * Time in which the load balancer takes the instance out of rotation: two missed checks a second apart, and the
     * connections that it had sent before.
     */
    private static final Duration ROTATION = Duration.ofMillis(2_600);

    /** Part of the grace that is left for closing connections. */
    private static final Duration RESERVE = Duration.ofMillis(700);

    private static final Duration POLL = Duration.ofMillis(50);

    /** Time without an open request after which the process may end once it is out of rotation. */
    private static final Duration QUIET = Duration.ofMillis(300);

    /** Most of the grace that is spent on leaving the rotation; the rest is for requests that still run. */
    private static final double ROTATION_SHARE = 0.35;

    private final long graceNanos;
    private final long rotationNanos;
    private final GatewayParts parts;
    private final HttpServer callers;

    GracefulStop(Duration grace, GatewayParts parts, HttpServer callers) {
        this.graceNanos = grace.minus(RESERVE).toNanos();
        this.rotationNanos = Math.min(ROTATION.toNanos(), (long) (grace.toNanos() * ROTATION_SHARE));
        this.parts = parts;
        this.callers = callers;
    }

    void run() throws InterruptedException {
        long start = System.nanoTime();
        parts.leave();
        callers.drain();
        waitUntil(start, rotationNanos, Long.MAX_VALUE);
        callers.stop();
        callers.closeIdle(Duration.ZERO);
        parts.refuseNew();
        waitUntil(start, graceNanos, QUIET.toNanos());
    }

    /** Waits for the given time since the start, or until there was no open request for the quiet time. */
    private void waitUntil(long start, long elapsedNanos, long quietNanos) throws InterruptedException {
        long quietSince = System.nanoTime();
        while (System.nanoTime() - start < elapsedNanos) {
            long now = System.nanoTime();
            if (parts.openRequests() > 0) {
                quietSince = now;
            } else if (now - quietSince >= quietNanos) {
                return;
            }
            Thread.sleep(POLL.toMillis());
            callers.closeIdle(quietNanos == Long.MAX_VALUE ? ROTATION : Duration.ZERO);
        }
    }
}
