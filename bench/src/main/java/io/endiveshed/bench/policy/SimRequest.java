package io.endiveshed.bench.policy;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.coordination.cost.LengthBand;

/** A caller's request and what became of it. */
final class SimRequest {
    /** What became of a request. */
    enum End {
        OPEN,
        COMPLETED,
        LATE,
        REFUSED,
        TOO_LONG,
        FAILED
    }

    final RequestId id;
    final ClientAccountId account;
    final long promptTokens;
    final long promptBytes;
    final int outputTokens;
    final int maxTokens;
    final long prefixKey;
    final long prefixTokens;
    final long arrivedNanos;
    final long deadlineNanos;
    final long idleFirstTokenNanos;
    final long idleNanos;
    final double workNanos;
    /** Attempts of the caller, which sends a new request; the first is 1. */
    final int callerAttempt;

    long firstTokenNanos = -1;
    long finishedNanos = -1;
    End end = End.OPEN;

    SimRequest(RequestId id, Shape shape, long arrivedNanos, int callerAttempt, EngineSpec engine) {
        this.id = id;
        this.account = shape.account();
        this.promptTokens = shape.promptTokens();
        this.promptBytes = shape.promptBytes();
        this.outputTokens = shape.outputTokens();
        this.maxTokens = shape.maxTokens();
        this.prefixKey = shape.prefixKey();
        this.prefixTokens = shape.prefixTokens();
        this.arrivedNanos = arrivedNanos;
        this.callerAttempt = callerAttempt;
        this.idleFirstTokenNanos = engine.idleFirstTokenNanos(promptTokens);
        this.idleNanos = engine.idleNanos(promptTokens, outputTokens);
        this.workNanos = engine.workNanos(promptTokens, outputTokens);
        this.deadlineNanos = arrivedNanos + 10 * Units.SECOND + 8 * idleNanos;
    }

    LengthBand band() {
        return LengthBand.of(promptTokens);
    }

    boolean isOpen() {
        return end == End.OPEN;
    }

    /** What a caller asks for. */
    record Shape(
            ClientAccountId account,
            long promptTokens,
            long promptBytes,
            int outputTokens,
            int maxTokens,
            long prefixKey,
            long prefixTokens) {}
}
