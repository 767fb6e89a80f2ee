package io.endiveshed.entry.internal;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.protocol.Message;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.agrona.concurrent.NanoClock;

/** Repeats each {@code Cancel} until the sidecar acknowledges it, so that no attempt keeps engine memory. */
final class PendingCancels {
    /** Interval of the repetition. */
    static final Duration REPEAT_INTERVAL = Duration.ofMillis(250);

    /**
     * Time after which a cancel to a target without link is forgotten. A sidecar cancels by itself what was without link
     * for 5 s, and a replaced one cancels what its engine still runs, so the rest of this time is a safety margin.
     */
    private static final Duration MAX_AGE = Duration.ofSeconds(30);

    private final SidecarLinks sidecars;
    private final CallCounters counters;
    private final NanoClock clock;
    private final Map<AttemptId, PendingCancel> pending = new ConcurrentHashMap<>();

    PendingCancels(SidecarLinks sidecars, CallCounters counters, NanoClock clock) {
        this.sidecars = sidecars;
        this.counters = counters;
        this.clock = clock;
    }

    /** Cancels an attempt now and until it is acknowledged. */
    void cancel(AttemptId attempt, TargetId target, long bodyBytes) {
        counters.countCancel();
        PendingCancel cancel = new PendingCancel(target, bodyBytes, clock.nanoTime());
        pending.put(attempt, cancel);
        send(attempt, cancel);
    }

    boolean isIdle() {
        return pending.isEmpty();
    }

    void acknowledged(AttemptId attempt) {
        pending.remove(attempt);
    }

    /** Sends every cancel again that was not acknowledged. */
    void repeat() {
        long now = clock.nanoTime();
        pending.forEach((attempt, cancel) -> {
            boolean linked = send(attempt, cancel);
            if (!linked && now - cancel.sinceNanos() > MAX_AGE.toNanos()) {
                pending.remove(attempt);
            }
        });
    }

    /** The body's length selects the lane of the dispatch; on another lane the cancel could overtake it. */
    private boolean send(AttemptId attempt, PendingCancel cancel) {
        return sidecars.link(cancel.target(), cancel.bodyBytes())
                .map(link -> {
                    link.send(new Message.Cancel(attempt));
                    return true;
                })
                .orElse(false);
    }

    private record PendingCancel(TargetId target, long bodyBytes, long sinceNanos) {}
}
