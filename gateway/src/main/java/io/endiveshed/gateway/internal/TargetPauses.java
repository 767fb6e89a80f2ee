package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.ServiceName;
import io.endiveshed.coordination.availability.TargetStatus;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Why none of the targets of a service gets a request, and for how long.
 *
 * @param reason reason for the caller
 * @param retryAfter time until the first of the targets takes requests again, if one is known
 */
record TargetPauses(String reason, Optional<Duration> retryAfter) {
    /** Returns the reason of the target that takes requests first; targets of unknown wait come last. */
    static TargetPauses of(ServiceName service, List<TargetRuntime> targets, long nowNanos) {
        TargetStatus first = null;
        for (TargetRuntime target : targets) {
            TargetStatus status = target.status(nowNanos);
            if (status.isAvailable()) {
                return new TargetPauses("no usable target of " + service, Optional.empty());
            }
            if (first == null || isSooner(status, first)) {
                first = status;
            }
        }
        if (first == null) {
            return new TargetPauses("no usable target of " + service, Optional.empty());
        }
        Optional<Duration> retryAfter =
                first.waitMillis() == 0 ? Optional.empty() : Optional.of(Duration.ofMillis(first.waitMillis()));
        return new TargetPauses(
                "all targets of " + service + " are " + first.reason().text(), retryAfter);
    }

    private static boolean isSooner(TargetStatus status, TargetStatus other) {
        return status.waitMillis() > 0 && (other.waitMillis() == 0 || status.waitMillis() < other.waitMillis());
    }
}
