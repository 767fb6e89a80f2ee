package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.AttemptId;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * States of the attempts in this process. Each attempt is either started or dropped, never both, also if several
 * threads try at the same time.
 */
final class AttemptRegistry {
    private final Map<AttemptId, Attempt> attempts = new ConcurrentHashMap<>();
    private final long maxStartDelayNanos;

    AttemptRegistry(long maxStartDelayNanos) {
        this.maxStartDelayNanos = maxStartDelayNanos;
    }

    private enum State {
        /** Neither started nor dropped. */
        OPEN,
        /** The call may have been sent to the target. */
        STARTED,
        /** The call will not be sent to the target. */
        DROPPED
    }

    /** State of an attempt, and the monotonic time of its registration in nanoseconds. */
    private record Attempt(State state, long registeredNanos) {
        Attempt with(State next) {
            return new Attempt(next, registeredNanos);
        }
    }

    /** Registers an attempt as open, and returns false if it is already registered. */
    boolean register(AttemptId attempt, long nowNanos) {
        return attempts.putIfAbsent(attempt, new Attempt(State.OPEN, nowNanos)) == null;
    }

    /**
     * Marks an open attempt as started, and returns whether the caller may send the call to the target. Returns false
     * after the longest start delay, because the key may have expired from the log while the process was paused.
     */
    boolean tryStart(AttemptId attempt, long nowNanos) {
        Attempt current = attempts.get(attempt);
        return current != null
                && nowNanos - current.registeredNanos() <= maxStartDelayNanos
                && tryChangeState(attempt, current, State.STARTED);
    }

    /** Marks an open attempt as dropped, and returns whether it is now or was already dropped. */
    boolean tryDrop(AttemptId attempt) {
        Attempt current = attempts.get(attempt);
        if (current == null) {
            return false;
        }
        return current.state() == State.DROPPED
                || tryChangeState(attempt, current, State.DROPPED)
                || isDropped(attempt);
    }

    /** Returns whether the attempt was dropped in this process. */
    boolean isDropped(AttemptId attempt) {
        Attempt current = attempts.get(attempt);
        return current != null && current.state() == State.DROPPED;
    }

    void remove(AttemptId attempt) {
        attempts.remove(attempt);
    }

    private boolean tryChangeState(AttemptId attempt, Attempt current, State next) {
        return current.state() == State.OPEN && attempts.replace(attempt, current, current.with(next));
    }
}
