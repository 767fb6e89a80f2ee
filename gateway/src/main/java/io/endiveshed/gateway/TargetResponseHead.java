package io.endiveshed.gateway;

import io.endiveshed.coordination.service.Endpoint;
import java.time.Duration;
import java.util.Optional;

/**
 * Status and decoded header fields of a target's response.
 *
 * @param status HTTP status
 * @param isNotRun whether the target states that it did not run the request and never will
 * @param isAuthentic whether the response carries the target's signature
 * @param isLeaving whether the target says that it leaves and wants no further requests
 * @param pause time for which the target wants no requests; empty if it does not say so
 * @param failedDependency address of the engine that the target names as the cause of the failure
 */
public record TargetResponseHead(
        int status,
        boolean isNotRun,
        boolean isAuthentic,
        boolean isLeaving,
        Optional<Duration> pause,
        Optional<Endpoint> failedDependency) {
    /** Returns whether the status is in the 2xx range. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}
