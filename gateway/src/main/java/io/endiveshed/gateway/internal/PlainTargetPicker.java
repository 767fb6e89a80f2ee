package io.endiveshed.gateway.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.gateway.ForwardingOptions;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Picks the target of a plain service that has the fewest requests of this entry per slot, where recent failures count
 * as requests.
 *
 * <p>Handles the load of short calls on few targets, some of which fail or do not respond.
 */
final class PlainTargetPicker implements TargetPicker {
    /** Cost of a target that always fails, in units of the requests that fill all its slots. */
    private static final double FAILURE_COST = 6;

    /** Cost per millisecond of network delay; decides only between targets that are about equally busy. */
    private static final double COST_PER_DELAY_MILLI = 0.01;

    /** Retry delay sent to a caller when no target is known; live targets are listed again within this time. */
    private static final Duration NO_TARGET_RETRY_DELAY = Duration.ofMillis(300);

    private final HomeTargets targets;
    private final FailureDomain domain;

    PlainTargetPicker(HomeTargets targets, FailureDomain domain) {
        this.targets = targets;
        this.domain = domain;
    }

    @Override
    public Either<Failure, Assignment> pick(
            AdmittedRequest request, long waitingSinceNanos, Set<TargetRuntime> excluded, long nowNanos) {
        List<TargetRuntime> candidates = targets.of(request);
        TargetRuntime best = cheapest(request, candidates, excluded, false, nowNanos);
        if (best == null) {
            // All targets are in backoff or ramping up; only a request can show that one of them has recovered.
            best = cheapest(request, candidates, excluded, true, nowNanos);
        }
        if (best == null) {
            Optional<Failure> outside = targets.refusal(request);
            if (outside.isPresent()) {
                return Either.left(outside.get());
            }
            TargetPauses pauses = TargetPauses.of(request.service().name(), candidates, nowNanos);
            Duration delay = pauses.retryAfter().orElse(NO_TARGET_RETRY_DELAY);
            return Either.left(Failure.of(pauses.isEvacuated() ? ErrorKind.EVACUATED : ErrorKind.NO_TARGET)
                    .message(pauses.reason())
                    .retryAfter(TargetPauses.retryDelay(delay, request, candidates, nowNanos))
                    .build());
        }
        best.requestStarted();
        return Either.right(new PlainAssignment(best, request.route().latencyObjectiveMillis()));
    }

    /** Returns the target with the lowest cost; null if there is no eligible one. */
    private TargetRuntime cheapest(
            AdmittedRequest request,
            List<TargetRuntime> candidates,
            Set<TargetRuntime> excluded,
            boolean includesRecovering,
            long nowNanos) {
        TargetRuntime best = null;
        double lowestCost = Double.MAX_VALUE;
        for (TargetRuntime target : candidates) {
            boolean isEligible = includesRecovering || !target.failureHistory().isBackingOff(nowNanos);
            if (excluded.contains(target) || !isEligible || !mayGet(target, includesRecovering, nowNanos)) {
                continue;
            }
            double delayMillis =
                    request.service().delays().between(domain, target.instance().domain());
            double cost = (double) (target.openRequests() + 1)
                            / Math.max(1, target.instance().slots())
                    + FAILURE_COST * target.failureHistory().failureRate()
                    + COST_PER_DELAY_MILLI * delayMillis;
            if (cost < lowestCost) {
                lowestCost = cost;
                best = target;
            }
        }
        return best;
    }

    private static boolean mayGet(TargetRuntime target, boolean includesRecovering, long nowNanos) {
        return target.mayGetRequests(nowNanos) || (includesRecovering && target.isOnlyRampingUp(nowNanos));
    }

    /** Assignment to a target that needs no resources beyond a place among the target's open requests. */
    private static final class PlainAssignment implements Assignment {
        private final TargetRuntime target;
        private final double predictedMillis;
        private boolean isReleased;

        PlainAssignment(TargetRuntime target, double predictedMillis) {
            this.target = target;
            this.predictedMillis = predictedMillis;
        }

        @Override
        public void prepare(Consumer<Boolean> whenDone, Runnable whenUnresponsive) {
            whenDone.accept(true);
        }

        @Override
        public TargetRuntime target() {
            return target;
        }

        @Override
        public List<ForwardingOptions.Helper> helpers() {
            return List.of();
        }

        @Override
        public double predictedMillis() {
            return predictedMillis;
        }

        @Override
        public void responseStarted() {}

        @Override
        public void release() {
            if (!isReleased) {
                isReleased = true;
                target.requestEnded();
            }
        }
    }
}
