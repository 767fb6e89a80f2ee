package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.ServiceName;
import io.endiveshed.coordination.availability.TargetStatus;
import io.endiveshed.coordination.retry.RetryDelaySpread;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Why none of the targets of a service gets a request, and for how long.
 *
 * @param reason reason for the caller
 * @param retryAfter time until the first of the targets takes requests again, if one is known
 * @param isEvacuated whether the reason is an evacuation
 */
record TargetPauses(String reason, Optional<Duration> retryAfter, boolean isEvacuated) {
    /**
     * Delay after which callers return to a service of which all targets are evacuated. An evacuation lasts longer than
     * most callers wait, so a shorter one would only have them refused again.
     */
    private static final Duration EVACUATED_RETRY_DELAY = Duration.ofSeconds(1);

    /** Returns the reason of the target that takes requests first; targets of unknown wait come last. */
    static TargetPauses of(ServiceName service, List<TargetRuntime> targets, long nowNanos) {
        TargetStatus first = null;
        for (TargetRuntime target : targets) {
            TargetStatus status = target.status(nowNanos);
            if (status.isAvailable()) {
                return new TargetPauses("no usable target of " + service, Optional.empty(), false);
            }
            if (first == null || isSooner(status, first)) {
                first = status;
            }
        }
        if (first == null) {
            return new TargetPauses("no usable target of " + service, Optional.empty(), false);
        }
        boolean isEvacuated = first.reason() == TargetStatus.Reason.EVACUATED;
        Optional<Duration> wait =
                first.waitMillis() == 0 ? Optional.empty() : Optional.of(Duration.ofMillis(first.waitMillis()));
        return new TargetPauses(
                "all targets of " + service + " are " + first.reason().text(),
                isEvacuated ? Optional.of(EVACUATED_RETRY_DELAY) : wait,
                isEvacuated);
    }

    /**
     * Returns the delay after which a refused caller is asked to return. While targets of the service are evacuated, many
     * callers are refused at the same moment; their returns are spread over the time that each of them accepts.
     */
    static Duration retryDelay(Duration delay, AdmittedRequest request, List<TargetRuntime> targets, long nowNanos) {
        boolean isAnyEvacuated =
                targets.stream().anyMatch(target -> target.status(nowNanos).reason() == TargetStatus.Reason.EVACUATED);
        if (!isAnyEvacuated) {
            return delay;
        }
        return RetryDelaySpread.delay(
                delay,
                FailureResponder.longestRetryDelay(request.remainingMillis(nowNanos)),
                ThreadLocalRandom.current().nextDouble());
    }

    private static boolean isSooner(TargetStatus status, TargetStatus other) {
        return status.waitMillis() > 0 && (other.waitMillis() == 0 || status.waitMillis() < other.waitMillis());
    }
}
