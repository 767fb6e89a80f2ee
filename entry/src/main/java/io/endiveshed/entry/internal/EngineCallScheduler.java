package io.endiveshed.entry.internal;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.admission.AdmissionController;
import io.endiveshed.coordination.admission.AdmissionRequest;
import io.endiveshed.coordination.admission.AdmissionSettings;
import io.endiveshed.coordination.admission.DispatchedAttempt;
import io.endiveshed.coordination.admission.EntryScheduler;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.cost.CostModel;
import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.coordination.retry.AttemptBudget;
import io.endiveshed.coordination.retry.FailedAttempt;
import io.endiveshed.coordination.routing.CostAwareSelector;
import io.endiveshed.coordination.routing.OutstandingWork;
import io.endiveshed.coordination.routing.PrefixAffinity;
import io.endiveshed.coordination.routing.RoutingRequest;
import io.endiveshed.coordination.routing.RoutingSettings;
import io.endiveshed.coordination.routing.TargetHealth;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Admits calls to engines and selects their targets. Keeps the current attempt of each call until the call ends. Safe
 * for use by several threads; it calls no listener, so it may be used with the lock of a call held.
 */
public final class EngineCallScheduler {
    /** Prompt prefixes for which the targets that hold them are remembered. */
    private static final int MAX_PREFIXES = 1_024;

    /**
     * Retries that are allowed in addition to the share of recent requests. One engine holds up to 64 requests, all of
     * which must be able to move to other engines when it fails; at low load, a tenth of recent requests would allow
     * only a few.
     */
    static final double RETRY_RESERVE = 64;

    private final EntryScheduler scheduler;
    private final Blackboard blackboard;
    private final Map<RequestId, DispatchedAttempt> currentAttempts = new ConcurrentHashMap<>();

    EngineCallScheduler(EntryScheduler scheduler, Blackboard blackboard) {
        this.scheduler = scheduler;
        this.blackboard = blackboard;
    }

    /**
     * Creates the scheduler of an entry in the given failure domain, with the default settings; the generator must be
     * safe for use by several threads.
     */
    public static EngineCallScheduler create(
            FailureDomain domain,
            CostModel.Coefficients engineCost,
            Blackboard blackboard,
            LongSupplier nanoClock,
            RandomGenerator random) {
        OutstandingWork outstanding = new OutstandingWork();
        TargetHealth health = new TargetHealth(nanoClock);
        PrefixAffinity affinity = new PrefixAffinity(MAX_PREFIXES);
        CostAwareSelector selector = new CostAwareSelector(
                RoutingSettings.defaults(domain), new CostModel(engineCost), outstanding, health, affinity, random);
        EntryScheduler scheduler = new EntryScheduler(
                selector,
                new AdmissionController(AdmissionSettings.DEFAULT, nanoClock),
                outstanding,
                health,
                affinity,
                new AttemptBudget(AttemptBudget.RETRY_SHARE, RETRY_RESERVE, nanoClock),
                nanoClock);
        return new EngineCallScheduler(scheduler, blackboard);
    }

    /**
     * Selects the target of the first attempt of a call and adds its work to the outstanding work of that target;
     * returns a failure with outcome {@code NOT_RUN} if the call is refused.
     */
    Either<Failure, TargetId> admit(Call call) {
        return scheduler
                .admit(admissionRequest(call), targets(call))
                .peek(attempt -> currentAttempts.put(call.id(), attempt))
                .map(DispatchedAttempt::target);
    }

    /** Selects another target after a failed attempt; returns empty if the call must not be retried. */
    Optional<TargetId> retry(Call call, Failure failure) {
        DispatchedAttempt previous = currentAttempts.get(call.id());
        if (previous == null) {
            return Optional.empty();
        }
        List<TargetId> tried = call.triedTargets();
        FailedAttempt failedAttempt = new FailedAttempt(
                new AttemptId(call.id(), tried.size()),
                failure,
                true,
                false,
                remainingNanos(call),
                previous.choice().work().totalNanos());
        List<TargetView> untried = targets(call).stream()
                .filter(target -> !tried.contains(target.id()))
                .toList();
        Optional<DispatchedAttempt> next =
                scheduler.retry(admissionRequest(call), failedAttempt, previous.target(), untried);
        next.ifPresent(attempt -> currentAttempts.put(call.id(), attempt));
        return next.map(DispatchedAttempt::target);
    }

    /** Records that the response of a call has started. */
    void recordFirstToken(Call call) {
        DispatchedAttempt attempt = currentAttempts.get(call.id());
        if (attempt != null) {
            scheduler.recordFirstToken(admissionRequest(call), attempt);
        }
    }

    /**
     * Records the end of the current attempt of a call; a timeout before the response has started marks the target as
     * slow.
     */
    void recordAttemptEnd(Call call, boolean timedOut) {
        DispatchedAttempt attempt = currentAttempts.get(call.id());
        if (attempt != null && timedOut) {
            scheduler.recordTimeout(attempt);
        } else if (attempt != null) {
            scheduler.recordFinished(attempt);
        }
    }

    /** Records the end of a call and removes its work from the outstanding work of its target. */
    void recordCallEnd(Call call) {
        DispatchedAttempt attempt = currentAttempts.remove(call.id());
        if (attempt != null) {
            scheduler.recordFinished(attempt);
        }
    }

    /**
     * Records the loss of a target that became suspect because it is unresponsive, or whose link closed; must be called
     * once for each loss.
     */
    public void recordTargetLoss(TargetId target) {
        scheduler.recordLoss(target);
    }

    /** Removes the outstanding work of a target whose incarnation is gone. */
    public void removeTarget(TargetId target) {
        scheduler.removeTarget(target);
    }

    private List<TargetView> targets(Call call) {
        RoutingRequest routing = call.spec().routing();
        return blackboard.fleet().read().serving(routing.kind(), routing.name());
    }

    private static AdmissionRequest admissionRequest(Call call) {
        CallSpec spec = call.spec();
        return new AdmissionRequest(spec.routing(), spec.account(), spec.weight(), remainingNanos(call));
    }

    private static long remainingNanos(Call call) {
        return TimeUnit.MILLISECONDS.toNanos(call.remainingMillis());
    }
}
