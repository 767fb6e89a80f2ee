package io.endiveshed.coordination.routing;

import io.endiveshed.base.id.FailureDomain;

/**
 * Settings of {@link CostAwareSelector}.
 *
 * @param localDomain failure domain of the entry
 * @param localCandidates number of targets of the entry's failure domain that are compared for a request
 * @param remoteCandidates number of targets of other failure domains that are compared for a request
 * @param remotePenaltyNanos additional predicted time of targets in other failure domains, in nanoseconds; a local
 *     target is preferred up to this additional wait
 * @param longerWorkWaitShare share of the work of longer bands that counts as wait for a shorter request, 0 to 1; low,
 *     since the shorter request overtakes that work except for the chunk in progress
 * @param longerWorkDelayShare share of the work of longer bands that counts against a target in addition to the wait,
 *     because the request delays that work and its decode shares engine steps with it
 */
public record RoutingSettings(
        FailureDomain localDomain,
        int localCandidates,
        int remoteCandidates,
        long remotePenaltyNanos,
        double longerWorkWaitShare,
        double longerWorkDelayShare) {
    private static final long DEFAULT_REMOTE_PENALTY_NANOS = 20_000_000L;

    /** Returns the default settings for an entry in the given failure domain. */
    public static RoutingSettings defaults(FailureDomain localDomain) {
        return new RoutingSettings(localDomain, 3, 2, DEFAULT_REMOTE_PENALTY_NANOS, 0.05, 0.5);
    }
}
