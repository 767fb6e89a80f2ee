package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.service.RouteRule;

/** Computes how long a target may send nothing before its request is moved to another target. */
final class StallLimits {
    /** Time in milliseconds beyond a short prediction after which a request leaves a target that sends nothing. */
    private static final double SHORT_PREDICTION_MARGIN_MILLIS = 800;

    /**
     * Time in milliseconds beyond a long prediction. Abandoning a long prefill that is merely slow wastes seconds of an
     * engine's time, and the engine itself reports the loss of a helper within 1.5 s.
     */
    private static final double LONG_PREDICTION_MARGIN_MILLIS = 4_000;

    /** Shortest prediction, in milliseconds, that counts as long. */
    private static final double MIN_LONG_PREDICTION_MILLIS = 700;

    /** Part of the prediction by which a target may exceed it, in addition to the margin. */
    private static final double PREDICTION_SHARE = 1;

    /** Longest gap between events of a running stream, in multiples of the longest pause that is on time. */
    private static final double MAX_PAUSE_FACTOR = 3;

    /**
     * Lower bound in milliseconds for the longest gap between events of a running stream. A pass in which an engine reads a part of
     * a long prompt takes more than one second, and callers disconnect after two.
     */
    private static final double MIN_EVENT_GAP_MILLIS = 1_400;

    private StallLimits() {}

    /** Returns the longest wait in milliseconds for a response that was predicted to begin after the given time. */
    static double untilFirstEvent(double predictedMillis) {
        double marginMillis = predictedMillis < MIN_LONG_PREDICTION_MILLIS
                ? SHORT_PREDICTION_MARGIN_MILLIS
                : LONG_PREDICTION_MARGIN_MILLIS;
        return predictedMillis + marginMillis + predictedMillis * PREDICTION_SHARE;
    }

    /** Returns the longest gap in milliseconds between two events of a stream before its target counts as stalled. */
    static double betweenEvents(RouteRule route) {
        return Math.max(MIN_EVENT_GAP_MILLIS, route.maxPauseMillis() * MAX_PAUSE_FACTOR);
    }
}
