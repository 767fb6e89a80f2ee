package io.endiveshed.coordination.routing;

import io.endiveshed.coordination.membership.TargetView;

/**
 * A target chosen for a request and what is predicted there.
 *
 * @param target the chosen target
 * @param work engine time of the request, which is to be counted as outstanding
 * @param waitNanos predicted wait before the engine starts on it, in nanoseconds
 * @param prefillNanos predicted time from the start to the first token, in nanoseconds
 * @param healthyFirstTokenNanos predicted time to the first token if the target were as fast as the others, in nanoseconds;
 *     the measure for {@link TargetHealth#observed}
 * @param backlogNanos predicted work of all bands on the target, in nanoseconds
 */
public record RoutingChoice(
        TargetView target,
        BandWork work,
        long waitNanos,
        long prefillNanos,
        long healthyFirstTokenNanos,
        long backlogNanos) {
    /** Returns the predicted time to the first token, in nanoseconds. */
    public long firstTokenNanos() {
        return waitNanos + prefillNanos;
    }
}
