package io.endiveshed.coordination.admission;

import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.routing.BandWork;
import io.endiveshed.coordination.routing.RoutingChoice;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Attempt that was dispatched to a target, with the part of its predicted work that still counts as outstanding.
 * Created by {@link EntryScheduler}. Thread-safe.
 */
public final class DispatchedAttempt {
    private final RoutingChoice choice;
    private final long dispatchedNanos;
    private final AtomicReference<BandWork> remainingWork;
    private final AtomicBoolean isMoveProposed = new AtomicBoolean();

    DispatchedAttempt(RoutingChoice choice, long dispatchedNanos) {
        this.choice = choice;
        this.dispatchedNanos = dispatchedNanos;
        this.remainingWork = new AtomicReference<>(choice.work());
    }

    /** Returns the target that the attempt is sent to. */
    public TargetId target() {
        return choice.target().id();
    }

    /** Returns the routing choice with the predictions for the attempt. */
    public RoutingChoice choice() {
        return choice;
    }

    long dispatchedNanos() {
        return dispatchedNanos;
    }

    boolean isMovable() {
        return !isMoveProposed.get();
    }

    /** Records that a move was proposed; returns false if one had been proposed before. */
    boolean markMoveProposed() {
        return isMoveProposed.compareAndSet(false, true);
    }

    /** Takes up to the given work from the remaining work and returns the work that was taken. */
    BandWork takeWork(BandWork part) {
        BandWork before = remainingWork.getAndUpdate(now -> now.minus(part));
        return before.minus(before.minus(part));
    }
}
