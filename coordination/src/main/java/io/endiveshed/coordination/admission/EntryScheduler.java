package io.endiveshed.coordination.admission;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.cost.LengthBand;
import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.coordination.retry.AttemptBudget;
import io.endiveshed.coordination.retry.FailedAttempt;
import io.endiveshed.coordination.retry.RetryPolicy;
import io.endiveshed.coordination.routing.BandWork;
import io.endiveshed.coordination.routing.CostAwareSelector;
import io.endiveshed.coordination.routing.OutstandingWork;
import io.endiveshed.coordination.routing.PrefixAffinity;
import io.endiveshed.coordination.routing.RoutingChoice;
import io.endiveshed.coordination.routing.TargetHealth;
import io.endiveshed.coordination.routing.WorkReport;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Schedules the engine requests of an entry: combines target selection, admission, outstanding work, retries and moves
 * between targets. Thread-safe.
 *
 * <pre>{@code
 * Either<Failure, DispatchedAttempt> admitted = scheduler.admit(request, targets);
 * // Send the attempt to admitted.get().target(), then:
 * scheduler.recordFirstToken(request, attempt);
 * scheduler.recordFinished(attempt); // on completion, failure and cancel alike
 * }</pre>
 */
public final class EntryScheduler {
    /**
     * Added to predicted and actual times before they are compared, so that small predictions yield no large ratios.
     */
    private static final long LATENCY_OFFSET_NANOS = 100_000_000L;

    private final CostAwareSelector selector;
    private final AdmissionController admission;
    private final OutstandingWork outstanding;
    private final TargetHealth health;
    private final PrefixAffinity affinity;
    private final AttemptBudget retryBudget;
    private final RetryPolicy retryPolicy;
    private final ReassignmentPolicy reassignment;
    private final LongSupplier nanoClock;

    /** Creates a scheduler; outstanding work, health and affinity must be the instances that the selector reads. */
    public EntryScheduler(
            CostAwareSelector selector,
            AdmissionController admission,
            OutstandingWork outstanding,
            TargetHealth health,
            PrefixAffinity affinity,
            AttemptBudget retryBudget,
            LongSupplier nanoClock) {
        this.selector = selector;
        this.admission = admission;
        this.outstanding = outstanding;
        this.health = health;
        this.affinity = affinity;
        this.retryBudget = retryBudget;
        this.retryPolicy = new RetryPolicy(retryBudget);
        this.reassignment = new ReassignmentPolicy(outstanding, health);
        this.nanoClock = nanoClock;
    }

    /**
     * Chooses a target for a caller's request and counts the request's work as outstanding there, or refuses the
     * request with outcome {@code not_run}.
     */
    public Either<Failure, DispatchedAttempt> admit(AdmissionRequest request, List<TargetView> targets) {
        retryBudget.recordRequest();
        return admission
                .decide(request, targets, selector.choose(request.routing(), targets))
                .map(this::dispatch);
    }

    /**
     * Chooses another target for the request of a failed attempt, for which {@link #recordFinished} has been called, or
     * returns empty if the request must fail.
     */
    public Optional<DispatchedAttempt> retry(
            AdmissionRequest request, FailedAttempt failed, TargetId failedTarget, List<TargetView> targets) {
        List<TargetView> others = new ArrayList<>(targets);
        others.removeIf(target -> target.id().equals(failedTarget));
        Optional<RoutingChoice> choice = selector.choose(request.routing(), others);
        if (choice.isEmpty() || choice.get().firstTokenNanos() > request.remainingNanos()) {
            return Optional.empty();
        }
        return retryPolicy.shouldRetry(failed) ? choice.map(this::dispatch) : Optional.empty();
    }

    /**
     * Proposes to move one attempt to another target; called once for each accepted request. The entry sends {@code
     * Revoke} to the attempt's target and calls {@link #move} only when the answer says that the attempt was revoked
     * before it started; otherwise nothing changes. Each attempt is proposed at most once.
     *
     * @param waiting attempts that have no first token yet
     * @param targets known targets of the model
     */
    public Optional<ProposedMove> proposeMove(Iterable<DispatchedAttempt> waiting, List<TargetView> targets) {
        return reassignment.propose(waiting, targets);
    }

    /**
     * Finishes a revoked attempt and dispatches its request to the proposed destination, or to another target if the
     * destination is no longer usable. Returns empty if no target is usable.
     */
    public Optional<DispatchedAttempt> move(AdmissionRequest request, ProposedMove move, List<TargetView> targets) {
        recordFinished(move.ticket());
        List<TargetView> destinations = new ArrayList<>(targets);
        destinations.removeIf(target -> !target.id().equals(move.destination().id()));
        return selector.choose(request.routing(), destinations)
                .or(() -> selector.choose(request.routing(), targets))
                .map(this::dispatch);
    }

    /** Records the first byte of an answer: the prefill is done and the target has cached the prompt's prefix. */
    public void recordFirstToken(AdmissionRequest request, DispatchedAttempt attempt) {
        RoutingChoice choice = attempt.choice();
        LengthBand band = LengthBand.of(request.routing().promptTokens());
        outstanding.recordFinished(attempt.target(), attempt.takeWork(BandWork.in(band, choice.prefillNanos())));
        affinity.recordPrefill(
                request.routing().prefixKey(),
                attempt.target(),
                request.routing().promptTokens());
        recordLatency(attempt);
    }

    /**
     * Records that the target no longer works on an attempt, because it completed, failed or was cancelled. Further
     * calls for the same attempt have no effect.
     */
    public void recordFinished(DispatchedAttempt attempt) {
        outstanding.recordFinished(
                attempt.target(), attempt.takeWork(attempt.choice().work()));
    }

    /** Records that an attempt was cancelled at its deadline before its first token, and finishes it. */
    public void recordTimeout(DispatchedAttempt attempt) {
        recordLatency(attempt);
        recordFinished(attempt);
    }

    /** Records a load report of a target. */
    public void recordLoadReport(TargetId target, WorkReport report) {
        outstanding.recordReport(target, report);
    }

    /** Records that a target became suspect or that its link closed; called once for each loss. */
    public void recordLoss(TargetId target) {
        health.recordLoss(target);
    }

    /** Removes the outstanding work of a target that no longer exists. */
    public void removeTarget(TargetId target) {
        outstanding.removeTarget(target);
    }

    private DispatchedAttempt dispatch(RoutingChoice choice) {
        DispatchedAttempt attempt = new DispatchedAttempt(choice, nanoClock.getAsLong());
        outstanding.recordDispatched(attempt.target(), choice.work());
        return attempt;
    }

    private void recordLatency(DispatchedAttempt attempt) {
        long elapsed = nanoClock.getAsLong() - attempt.dispatchedNanos();
        health.recordLatency(
                attempt.target(),
                attempt.choice().baselineFirstTokenNanos() + LATENCY_OFFSET_NANOS,
                elapsed + LATENCY_OFFSET_NANOS);
    }
}
