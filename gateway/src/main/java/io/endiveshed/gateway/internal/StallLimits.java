package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.service.RouteRule;

/** How long a target may be silent before its request moves to another one. */
final class StallLimits {
    /** Time in milliseconds beyond a short prediction after which a silent target is given up. */
    private static final double MIN_STALL_MILLIS = 800;

    /**
     * Time in milliseconds beyond a long prediction. Giving up a long read that is only slow loses seconds of an engine's
     * work, and the engine itself reports within 1.5 s that a helper is gone.
     */
    private static final double LONG_STALL_MILLIS = 4_000;

    /** Prediction in milliseconds from which the longer time applies. */
    private static final double LONG_PREDICTION_MILLIS = 700;

    /** Share of the prediction by which a target may exceed it before it is given up. */
    private static final double STALL_SHARE = 1;

    /** Pauses of a running stream, in units of the longest that is on time, after which its target is given up. */
    private static final double STALL_PAUSES = 3;

    /**
     * Least silence in milliseconds of a running stream after which its target is given up. A pass in which an engine
     * reads a part of a long prompt takes more than a second; callers leave after two.
     */
    private static final double MIN_STALL_PAUSE_MILLIS = 1_400;

    private StallLimits() {}

    /** Returns the longest wait in milliseconds for an answer that was predicted for the given time. */
    static double untilFirstEvent(double predictedMillis) {
        double least = predictedMillis < LONG_PREDICTION_MILLIS ? MIN_STALL_MILLIS : LONG_STALL_MILLIS;
        return predictedMillis + least + predictedMillis * STALL_SHARE;
    }

    /** Returns the longest silence in milliseconds within a stream. */
    static double betweenEvents(RouteRule route) {
        return Math.max(MIN_STALL_PAUSE_MILLIS, route.maxPauseMillis() * STALL_PAUSES);
    }
}
