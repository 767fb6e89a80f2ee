package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Tells callers why and for how long targets that pause, or have had what their limits allow, get no requests. */
final class TargetPauses {
    private TargetPauses() {}

    /** Returns the time until the first of the targets takes requests again; empty unless none of them takes one now. */
    static Optional<Duration> shortest(List<TargetRuntime> targets, long nowNanos) {
        long shortestMillis = Long.MAX_VALUE;
        for (TargetRuntime target : targets) {
            shortestMillis = Math.min(shortestMillis, target.millisUntilRequest(nowNanos));
        }
        return targets.isEmpty() || shortestMillis == 0
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(shortestMillis));
    }

    /** Returns why no target of a service gets a request, given the result of {@link #shortest}. */
    static String reason(ServiceName service, Optional<Duration> shortest) {
        return shortest.isPresent()
                ? "all targets of " + service + " pause or have had the requests that their limits allow"
                : "no usable target of " + service;
    }
}
