package io.endiveshed.coordination.routing;

import io.endiveshed.coordination.membership.TargetView;

/**
 * Target chosen for a request, with the predictions for the request on it.
 *
 * @param target the chosen target
 * @param work predicted engine time of the request, to be counted as outstanding on the target
 * @param waitNanos predicted wait before the engine starts on the request, in nanoseconds
 * @param prefillNanos predicted time from the start to the first token, in nanoseconds
 * @param baselineFirstTokenNanos predicted time to the first token if the target were as fast as the others, in
 *     nanoseconds; {@link TargetHealth#recordLatency} compares the actual time with it
 * @param bandBacklogNanos predicted work of the request's length band and shorter ones on the target, in nanoseconds
 * @param backlogNanos predicted work of all bands on the target, in nanoseconds
 */
public record RoutingChoice(
        TargetView target,
        BandWork work,
        long waitNanos,
        long prefillNanos,
        long baselineFirstTokenNanos,
        long bandBacklogNanos,
        long backlogNanos) {
    /** Returns the predicted time to the first token, in nanoseconds. */
    public long firstTokenNanos() {
        return waitNanos + prefillNanos;
    }
}
