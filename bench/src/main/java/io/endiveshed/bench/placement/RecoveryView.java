package io.endiveshed.bench.placement;

import io.endiveshed.coordination.engine.EngineBacklog;
import io.endiveshed.coordination.engine.EngineCandidate;
import io.endiveshed.coordination.engine.EnginePlacement;
import io.endiveshed.coordination.pace.AnswerSign;
import io.endiveshed.coordination.pace.OpenWork;
import io.endiveshed.coordination.pace.SlowStart;
import io.endiveshed.coordination.pace.SlowStartCause;
import io.endiveshed.coordination.pace.SpeedEstimate;
import io.endiveshed.coordination.pace.SpeedReference;
import io.endiveshed.coordination.service.TargetFailureHistory;

/** What one simulated entry knows of one incarnation of a target; times are in nanoseconds. */
final class RecoveryView {
    private static final double FAILING_RATE = 0.2;

    private final int index;
    private final int incarnation;
    private final EngineCandidate nominal;
    private final RecoveryPolicy policy;
    private final TargetFailureHistory history = new TargetFailureHistory();
    private final SpeedEstimate speed;
    private final SlowStart slowStart;

    RecoveryView(int index, int incarnation, EngineCandidate nominal, RecoveryPolicy policy, SpeedReference reference) {
        this.index = index;
        this.incarnation = incarnation;
        this.nominal = nominal;
        this.policy = policy;
        this.speed = new SpeedEstimate(reference);
        this.slowStart = new SlowStart(nominal.slots(), this::openWork, 2, (cause, requests) -> {});
    }

    int index() {
        return index;
    }

    int incarnation() {
        return incarnation;
    }

    EngineBacklog backlog() {
        return nominal.backlog();
    }

    boolean isBackingOff(long nowNanos) {
        return history.isBackingOff(nowNanos);
    }

    boolean isOpen(long nowNanos) {
        return slowStart.status(nowNanos).isAvailable();
    }

    EngineCandidate candidate(long nowNanos) {
        return new EngineCandidate(
                nominal.id(),
                nominal.domain(),
                nominal.isInOtherDomain(),
                nominal.slots(),
                backlog(),
                nominal.mayHelp(),
                nominal.networkDelayMillis(),
                policy.measuresSpeed ? speed.factor(slowStart.isActive(), nowNanos) : 1);
    }

    void begin(SlowStartCause cause, long nowNanos) {
        if (policy.limits) {
            slowStart.begin(cause, nowNanos);
        }
    }

    void noResponse(long nowNanos) {
        history.recordNoResponse(nowNanos);
        begin(SlowStartCause.NO_RESPONSE, nowNanos);
    }

    void answered(EnginePlacement placement, double actualMillis, long placedNanos, long nowNanos) {
        speed.add(placement.firstEventMillis(), placement.primary().speedFactor(), actualMillis, nowNanos);
        slowStart.answered(AnswerSign.ofFirstEvent(placement.firstEventMillis(), actualMillis), placedNanos, nowNanos);
        if (!slowStart.isActive() && policy.learnsFromEndings && speed.isNewestClearlySlow()) {
            begin(SlowStartCause.SLOW_ANSWER, nowNanos);
        }
    }

    void abandoned(long placedNanos, long nowNanos) {
        slowStart.answered(AnswerSign.SLOW, placedNanos, nowNanos);
    }

    void succeeded() {
        history.recordSuccess();
    }

    void failed(long placedNanos, long nowNanos) {
        history.recordFailure();
        if (slowStart.isActive()) {
            slowStart.answered(AnswerSign.BROKEN, placedNanos, nowNanos);
        } else if (history.failureRate() >= FAILING_RATE) {
            begin(SlowStartCause.FAILURES, nowNanos);
        }
    }

    void ended(long number, boolean isOther, long nowNanos) {
        backlog()
                .remove(isOther ? 1 : 0, number, 0, nowNanos)
                .filter(task -> isOther && task.decodes() && policy.learnsFromEndings)
                .ifPresent(task -> slowStart.endedElsewhere(task.firstEventNanos(), task.endNanos(), nowNanos));
    }

    private OpenWork openWork(long nowNanos) {
        long requests = backlog().tasks().stream()
                .filter(task -> policy.countsAllEntries || task.owner() == 0)
                .count();
        return new OpenWork((int) requests, policy.countsAllEntries ? backlog().prefillMillis(nowNanos) : 0);
    }
}
