package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.availability.TargetStatus;
import io.endiveshed.coordination.engine.EngineTask;
import io.endiveshed.coordination.pace.AnswerSign;
import io.endiveshed.coordination.pace.OpenWork;
import io.endiveshed.coordination.pace.ReportedLoad;
import io.endiveshed.coordination.pace.SlowStart;
import io.endiveshed.coordination.pace.SlowStartCause;
import io.endiveshed.coordination.pace.SpeedEstimate;
import io.endiveshed.coordination.pace.SpeedReference;
import io.endiveshed.coordination.service.TargetFailureHistory;
import java.util.function.LongFunction;

/**
 * Slow start, measured speed and recent failures of one incarnation of a target. Ends with the incarnation. Confined to
 * one event loop.
 */
final class TargetRecovery {
    /** Failure rate from which a target counts as failing: two failures among the last few answers. */
    private static final double FAILING_RATE = 0.2;

    private final TargetFailureHistory failures = new TargetFailureHistory();
    private final boolean isAdaptive;
    private final SlowStart slowStart;
    private final SpeedEstimate speed;

    /**
     * Creates the state of a target in normal service.
     *
     * @param slots number of requests that the target runs at once
     * @param openWork returns the unfinished work on the target at a time in nanoseconds
     * @param initialRequests requests that the target may have open when a slow start begins
     * @param reference typical speed of the targets of its service
     * @param listener notified of each change of the slow start
     */
    TargetRecovery(
            int slots,
            LongFunction<OpenWork> openWork,
            int initialRequests,
            SpeedReference reference,
            SlowStart.ChangeListener listener) {
        this(true, new SlowStart(slots, openWork, initialRequests, listener), reference);
    }

    private TargetRecovery(boolean isAdaptive, SlowStart slowStart, SpeedReference reference) {
        this.isAdaptive = isAdaptive;
        this.slowStart = slowStart;
        this.speed = new SpeedEstimate(reference);
    }

    /** Returns the state of a target that gets requests at full rate as soon as it starts or recovers. */
    static TargetRecovery withoutSlowStart() {
        SlowStart unused = new SlowStart(1, nowNanos -> new OpenWork(0, 0), 1, (cause, requests) -> {});
        return new TargetRecovery(false, unused, new SpeedReference());
    }

    /** Returns the recent failures. */
    TargetFailureHistory failures() {
        return failures;
    }

    /** Returns whether the slow start lets a request through now. */
    TargetStatus status(long nowNanos) {
        return slowStart.status(nowNanos);
    }

    /** Returns the measured speed, 1 if the target is as fast as predicted. */
    double speedFactor(long nowNanos) {
        return isAdaptive ? speed.factor(slowStart.isActive(), nowNanos) : 1;
    }

    /** Begins a slow start. */
    void begin(SlowStartCause cause, long nowNanos) {
        if (isAdaptive) {
            slowStart.begin(cause, nowNanos);
        }
    }

    /** Records that the target could not be reached or did not answer. */
    void recordNoResponse(long nowNanos) {
        failures.recordNoResponse(nowNanos);
        begin(SlowStartCause.NO_RESPONSE, nowNanos);
    }

    /** Records that the target failed a request, or that its answer broke off. */
    void recordFailure(long sentNanos, long nowNanos) {
        failures.recordFailure();
        if (slowStart.isActive()) {
            slowStart.answered(AnswerSign.BROKEN, sentNanos, nowNanos);
        } else if (failures.failureRate() >= FAILING_RATE) {
            begin(SlowStartCause.FAILURES, nowNanos);
        }
    }

    /** Records that the target refused a request. */
    void recordRefusal(long sentNanos, long nowNanos) {
        slowStart.answered(AnswerSign.REFUSED, sentNanos, nowNanos);
    }

    /** Records that a response began; times in milliseconds. */
    void recordStart(double predictedMillis, double actualMillis, long sentNanos, long nowNanos) {
        slowStart.answered(AnswerSign.ofFirstEvent(predictedMillis, actualMillis), sentNanos, nowNanos);
    }

    /** Adds the time until the first event of a stream to the measured speed; times in milliseconds. */
    void recordSpeed(double predictedMillis, double assumedSpeed, double actualMillis, long nowNanos) {
        speed.add(predictedMillis, assumedSpeed, actualMillis, nowNanos);
        if (!slowStart.isActive() && speed.isNewestClearlySlow()) {
            begin(SlowStartCause.SLOW_ANSWER, nowNanos);
        }
    }

    /** Records the load that the target reported in a response. */
    void recordLoad(ReportedLoad load, long sentNanos, long nowNanos) {
        slowStart.loadReported(load, sentNanos, nowNanos);
    }

    /** Records that a request which another entry had placed on the target has ended. */
    void recordEndElsewhere(EngineTask task, long nowNanos) {
        slowStart.endedElsewhere(task.firstEventNanos(), task.endNanos(), nowNanos);
    }
}
