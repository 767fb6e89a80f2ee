package io.endiveshed.gateway;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of a gateway.
 *
 * @param instance instance on which it runs
 * @param domain its failure domain
 * @param callers address for callers
 * @param ready address for readiness checks
 * @param metrics address for metrics
 * @param peers UDP address for the notices of other gateways
 * @param platform address of the platform's store
 * @param bounds time limits and budgets that the operator sets
 */
public record GatewaySettings(
        InstanceId instance,
        FailureDomain domain,
        InetSocketAddress callers,
        InetSocketAddress ready,
        InetSocketAddress metrics,
        InetSocketAddress peers,
        InetSocketAddress platform,
        Bounds bounds) {
    /**
     * Time limits and budgets.
     *
     * @param revocation time after which a revoked key must not work on any instance
     * @param configurationApply time after which a new desired state must be in force
     * @param stopGrace time from the stop signal to the end of the process
     * @param retryShare extra attempts for each request, over all gateways
     * @param retryAllowance extra attempts in addition to that, over all gateways
     */
    public record Bounds(
            Duration revocation,
            Duration configurationApply,
            Duration stopGrace,
            double retryShare,
            long retryAllowance) {}
}
