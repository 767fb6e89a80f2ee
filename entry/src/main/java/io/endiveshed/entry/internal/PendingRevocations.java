package io.endiveshed.entry.internal;

import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Message;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Asks sidecars to fence attempts of non-idempotent calls, and waits a bounded time for the result. */
final class PendingRevocations {
    /** Longest wait for a result. */
    static final Duration MAX_RESULT_WAIT = Duration.ofSeconds(2);

    private final SidecarLinks sidecars;
    private final Blackboard blackboard;
    private final ScheduledExecutorService timers;
    private final Map<AttemptId, Consumer<Outcome>> pending = new ConcurrentHashMap<>();

    PendingRevocations(SidecarLinks sidecars, Blackboard blackboard, ScheduledExecutorService timers) {
        this.sidecars = sidecars;
        this.blackboard = blackboard;
        this.timers = timers;
    }

    /**
     * Revokes an attempt and passes on what became of it; {@code NOT_RUN} only if a sidecar has said so.
     *
     * @param first sidecar that got the dispatch; it is asked if it is linked, else another of the service
     * @param waitMillis time after which the outcome is {@code UNKNOWN}
     */
    void revoke(CallSpec spec, AttemptId attempt, TargetId first, long waitMillis, Consumer<Outcome> whenKnown) {
        Optional<Link> link = selectLink(spec, first);
        if (link.isEmpty() || pending.putIfAbsent(attempt, whenKnown) != null) {
            whenKnown.accept(Outcome.UNKNOWN);
            return;
        }
        long wait = Math.max(1, Math.min(waitMillis, MAX_RESULT_WAIT.toMillis()));
        timers.schedule(() -> finish(attempt, Outcome.UNKNOWN), wait, TimeUnit.MILLISECONDS);
        link.get()
                .send(new Message.Revoke(
                        attempt, spec.account().value(), spec.routing().name(), spec.idempotencyKey()));
    }

    boolean isIdle() {
        return pending.isEmpty();
    }

    /** Handles the result from a sidecar. */
    void handleResult(Message.RevokeResult result) {
        finish(result.attempt(), result.outcome());
    }

    private void finish(AttemptId attempt, Outcome outcome) {
        Consumer<Outcome> whenKnown = pending.remove(attempt);
        if (whenKnown != null) {
            whenKnown.accept(outcome);
        }
    }

    private Optional<Link> selectLink(CallSpec spec, TargetId first) {
        Optional<Link> link = sidecars.link(first, 0);
        if (link.isPresent()) {
            return link;
        }
        List<TargetView> others =
                blackboard
                        .fleet()
                        .read()
                        .serving(spec.routing().kind(), spec.routing().name())
                        .stream()
                        .filter(target -> !target.id().equals(first))
                        .toList();
        return IdempotencyKeyRouting.select(spec, others).flatMap(target -> sidecars.link(target.id(), 0));
    }
}
