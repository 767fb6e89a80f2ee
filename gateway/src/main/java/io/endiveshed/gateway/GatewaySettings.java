package io.endiveshed.gateway;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.limit.ColdBounds;
import io.endiveshed.coordination.service.DomainRegions;
import io.endiveshed.net.http.HttpServerLimits;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * Settings of a gateway.
 *
 * @param instance instance on which the gateway runs
 * @param domain failure domain of the instance
 * @param callers address that serves callers
 * @param ready address that serves readiness checks
 * @param metrics address that serves metrics
 * @param peers UDP address that receives placement notices of other gateways
 * @param platform address of the platform's store
 * @param bounds time limits and retry budget set by the operator
 * @param regions regions of the failure domains, also of that of the instance if its region is set
 * @param adaptiveSlowStart whether targets that start or recover get more requests only as their answers allow
 * @param responses limits of the responses of targets
 * @param clients limits of the requests of callers
 */
public record GatewaySettings(
        InstanceId instance,
        FailureDomain domain,
        InetSocketAddress callers,
        InetSocketAddress ready,
        InetSocketAddress metrics,
        InetSocketAddress peers,
        InetSocketAddress platform,
        Bounds bounds,
        DomainRegions regions,
        boolean adaptiveSlowStart,
        ResponseLimits responses,
        HttpServerLimits clients) {
    /**
     * Time limits and retry budget.
     *
     * @param revocation time after which no instance may accept a revoked key
     * @param configurationApply time after which a new desired state must be in force
     * @param stopGrace time from the stop signal to the end of the process
     * @param contactWindow time after the end of a failure from which the bounds hold for an instance again
     * @param drain time after the acknowledgement of a target's leave in which requests may still reach it
     * @param unusedMemory time for which memory of an engine may stay reserved without a request that uses it
     * @param retryShare retries allowed per request, over all gateways
     * @param retryAllowance retries allowed in addition to that share, over all gateways
     * @param cold requests that a cold target may get beyond its rate
     * @param evacuation time after the acknowledgement of an evacuation from which no request may reach the targets of
     *     the failure domain; empty if the operator sets no bound
     */
    public record Bounds(
            Duration revocation,
            Duration configurationApply,
            Duration stopGrace,
            Duration contactWindow,
            Duration drain,
            Duration unusedMemory,
            double retryShare,
            double retryAllowance,
            ColdBounds cold,
            Optional<Duration> evacuation) {}

    /**
     * Limits of what a target may send. A target that exceeds one of them counts as failed and its connection is closed.
     *
     * @param maxEventBytes maximum length of one event of a stream
     * @param maxBufferedBytes maximum length of a response that is passed on only when it is complete
     * @param maxHeldBytes maximum sum of the incomplete events and buffered responses of all targets
     */
    public record ResponseLimits(long maxEventBytes, long maxBufferedBytes, long maxHeldBytes) {
        /**
         * Returns the limits that hold if the settings have none: an event holds some dozens of tokens, so a few
         * kilobytes, and plain services answer with kilobytes too; a process of the known installations has a heap of
         * 160 MB, of which responses may take a fifth.
         */
        public static ResponseLimits defaults() {
            return new ResponseLimits(256 * 1024, 2 * 1024 * 1024, 32 * 1024 * 1024);
        }
    }
}
