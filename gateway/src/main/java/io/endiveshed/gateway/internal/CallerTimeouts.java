package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.service.RouteRule;

/**
 * Computes how long callers wait for the next event of a stream before they disconnect. The platform specifies the
 * constants.
 */
final class CallerTimeouts {
    private static final double MIN_MILLIS = 2_000;
    private static final double OBJECTIVE_FACTOR = 4;
    private static final double PAUSE_FACTOR = 8;

    private CallerTimeouts() {}

    /** Returns the longest time in milliseconds for which callers of a route wait for the next event. */
    static double nextEventMillis(RouteRule route) {
        double byObjective = OBJECTIVE_FACTOR * route.latencyObjectiveMillis();
        return Math.max(MIN_MILLIS, Math.max(byObjective, PAUSE_FACTOR * route.maxPauseMillis()));
    }
}
