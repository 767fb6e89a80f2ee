package io.endiveshed.gateway;

import io.endiveshed.gateway.internal.GatewayComponents;
import io.endiveshed.net.http.HttpServer;
import java.time.Duration;

/**
 * Runs the steps of a graceful shutdown: reports not ready, waits for the load balancer, refuses new requests,
 * waits for the open ones and answers those that remain at the end of the grace period.
 */
final class GracefulStop {
    /**
     * Time in which the load balancer takes the instance out of rotation: two failed health checks one second apart,
     * and the connections that it had opened before.
     */
    private static final Duration LOAD_BALANCER_REMOVAL = Duration.ofMillis(2_600);

    /** Part of the grace period that is reserved for closing connections. */
    private static final Duration CONNECTION_CLOSE_RESERVE = Duration.ofMillis(700);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /** Time without an open request after which the process may end once it is out of rotation. */
    private static final Duration IDLE_BEFORE_EXIT = Duration.ofMillis(300);

    /** Largest share of the grace period spent on leaving the rotation; the rest is for requests still running. */
    private static final double MAX_REMOVAL_SHARE = 0.35;

    private final long graceNanos;
    private final long removalNanos;
    private final GatewayComponents components;
    private final HttpServer callerServer;

    GracefulStop(Duration grace, GatewayComponents components, HttpServer callerServer) {
        this.graceNanos = grace.minus(CONNECTION_CLOSE_RESERVE).toNanos();
        this.removalNanos = Math.min(LOAD_BALANCER_REMOVAL.toNanos(), (long) (grace.toNanos() * MAX_REMOVAL_SHARE));
        this.components = components;
        this.callerServer = callerServer;
    }

    /** Blocks until the instance is out of rotation and no request is open, at most for the grace period. */
    void run() throws InterruptedException {
        long startNanos = System.nanoTime();
        components.startDraining();
        callerServer.drain();
        waitUntil(startNanos, removalNanos, Long.MAX_VALUE);
        callerServer.stop();
        callerServer.closeIdle(Duration.ZERO);
        components.refuseNewRequests();
        waitUntil(startNanos, graceNanos, IDLE_BEFORE_EXIT.toNanos());
        components.endOpenRequests();
    }

    /** Waits until the given time since the start has passed, or no request was open for the idle time. */
    private void waitUntil(long startNanos, long elapsedNanos, long idleNanos) throws InterruptedException {
        long idleSinceNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < elapsedNanos) {
            long nowNanos = System.nanoTime();
            if (components.openRequestCount() > 0) {
                idleSinceNanos = nowNanos;
            } else if (nowNanos - idleSinceNanos >= idleNanos) {
                return;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
            callerServer.closeIdle(idleNanos == Long.MAX_VALUE ? LOAD_BALANCER_REMOVAL : Duration.ZERO);
        }
    }
}
