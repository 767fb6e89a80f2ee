package io.endiveshed.gateway.internal;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Computes when a caller may return if targets pause or have had the requests that their limits allow. */
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
}
