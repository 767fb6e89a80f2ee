package io.endiveshed.gateway.internal;

import io.endiveshed.gateway.TargetResponseHead;

/** Passes what happens to one attempt on to the state of its target. Confined to one event loop. */
final class AttemptSignals {
    private static final double NANOS_PER_MILLI = 1e6;

    private final Assignment assignment;
    private final boolean isPredictedByCost;
    private final long sentNanos;
    private boolean hasStarted;

    /**
     * Creates the signals of an attempt that is sent now.
     *
     * @param isPredictedByCost whether the prediction follows from the size of the prompt, as it does on engines
     */
    AttemptSignals(Assignment assignment, boolean isPredictedByCost, long sentNanos) {
        this.assignment = assignment;
        this.isPredictedByCost = isPredictedByCost;
        this.sentNanos = sentNanos;
    }

    /** Records the head of a response of the target. */
    void headArrived(TargetResponseHead head, long nowNanos) {
        head.load().ifPresent(load -> recovery().recordLoad(load, sentNanos, nowNanos));
    }

    /** Records that events have arrived; only the first ones count. */
    void eventsArrived(long nowNanos) {
        if (!hasStarted) {
            hasStarted = true;
            double actualMillis = (nowNanos - sentNanos) / NANOS_PER_MILLI;
            recovery().recordStart(assignment.predictedMillis(), actualMillis, sentNanos, nowNanos);
            if (isPredictedByCost) {
                recovery().recordSpeed(assignment.predictedMillis(), assignment.assumedSpeed(), actualMillis, nowNanos);
            }
        }
    }

    /** Records a whole response. If it was no stream, its time on an engine includes decoding and is not compared. */
    void succeeded(long nowNanos) {
        recovery().failures().recordSuccess();
        if (!hasStarted) {
            double actualMillis = isPredictedByCost ? 0 : (nowNanos - sentNanos) / NANOS_PER_MILLI;
            recovery().recordStart(assignment.predictedMillis(), actualMillis, sentNanos, nowNanos);
        }
    }

    /** Records that the target refused the request. */
    void refused(long nowNanos) {
        recovery().recordRefusal(sentNanos, nowNanos);
    }

    /** Records that the response broke off or was an error. */
    void failed(long nowNanos) {
        recovery().recordFailure(sentNanos, nowNanos);
    }

    private TargetRecovery recovery() {
        return assignment.target().recovery();
    }
}
