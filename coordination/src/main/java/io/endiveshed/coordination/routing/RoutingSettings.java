package io.endiveshed.coordination.routing;

import io.endiveshed.base.id.FailureDomain;

/**
 * Settings of {@link CostAwareSelector}.
 *
 * @param localDomain failure domain of the entry
 * @param localCandidates targets of the own failure domain that are compared for a request
 * @param remoteCandidates targets of other failure domains that are compared for a request
 * @param linkPenaltyNanos wait that is accepted to stay in the own failure domain, in nanoseconds
 * @param longerWorkWeight share of the work of longer bands that counts as wait for a shorter request, which overtakes
 *     it but for the chunk in progress; 0 to 1
 */
public record RoutingSettings(
        FailureDomain localDomain,
        int localCandidates,
        int remoteCandidates,
        long linkPenaltyNanos,
        double longerWorkWeight) {
    private static final long DEFAULT_LINK_PENALTY_NANOS = 20_000_000L;

    /** Returns the settings that were best in measurements.md. */
    public static RoutingSettings defaults(FailureDomain localDomain) {
        return new RoutingSettings(localDomain, 3, 2, DEFAULT_LINK_PENALTY_NANOS, 0.05);
    }
}
