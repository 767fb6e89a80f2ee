package io.endiveshed.gateway;

import io.endiveshed.coordination.pace.ReportedLoad;
import io.endiveshed.coordination.service.Endpoint;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Status and decoded header fields of a target's response.
 *
 * @param status HTTP status
 * @param isNotRun whether the target states that it did not run the request and never will
 * @param isAuthentic whether the response carries the target's signature
 * @param isLeaving whether the target says that it leaves and wants no further requests
 * @param pause time for which the target wants no requests; empty if it does not say so
 * @param requestsPerSecond requests a second that the target takes from all entries together; empty if it names no limit
 * @param coldRemainingMillis time in milliseconds for which the target remains cold; empty if it does not say so
 * @param failedDependency address of the engine that the target names as the cause of the failure
 * @param load load that the target reports; empty if it reports none
 */
public record TargetResponseHead(
        int status,
        boolean isNotRun,
        boolean isAuthentic,
        boolean isLeaving,
        Optional<Duration> pause,
        OptionalDouble requestsPerSecond,
        OptionalLong coldRemainingMillis,
        Optional<Endpoint> failedDependency,
        Optional<ReportedLoad> load) {
    private static final int MISDIRECTED_REQUEST = 421;

    /** Returns whether another target has taken over the address, so that the response says nothing of this one. */
    public boolean isFromOtherTarget() {
        return status == MISDIRECTED_REQUEST;
    }

    /** Returns whether the status is in the 2xx range. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}
