package io.endiveshed.coordination.membership;

import io.endiveshed.base.id.TargetId;

/**
 * Mutable state of one incarnation of a target.
 *
 * <p>Not safe for use by several threads; {@link TargetTable} guards it.
 */
final class TargetRow {
    private final long addedNanos;
    private TargetView view;
    private long lastFrameNanos;
    private long unlinkedNanos;
    private long unresponsiveDetectedNanos;
    private boolean linked = true;
    private boolean suspicionSuppressed;

    TargetRow(TargetView view, long nowNanos) {
        this.view = view;
        this.addedNanos = nowNanos;
        this.lastFrameNanos = nowNanos;
    }

    TargetId id() {
        return view.id();
    }

    TargetView view() {
        return view;
    }

    TargetState state() {
        return view.state();
    }

    long addedNanos() {
        return addedNanos;
    }

    long lastFrameNanos() {
        return lastFrameNanos;
    }

    boolean isLinked() {
        return linked;
    }

    long unlinkedNanos() {
        return unlinkedNanos;
    }

    /**
     * Returns whether the target is unresponsive but kept live, because the entry's own network is the likelier cause.
     */
    boolean isSuspicionSuppressed() {
        return suspicionSuppressed;
    }

    /**
     * Returns when the target was found unresponsive, in nanoseconds on the monotonic clock. The value is meaningful
     * only while the target is suspect or its suspicion is suppressed.
     */
    long unresponsiveDetectedNanos() {
        return unresponsiveDetectedNanos;
    }

    void markRelinked(long nowNanos) {
        linked = true;
        view = view.withLoad(TargetLoad.NONE);
        recordFrame(nowNanos);
    }

    void markUnlinked(long nowNanos) {
        linked = false;
        suspicionSuppressed = false;
        unlinkedNanos = nowNanos;
        view = view.withState(TargetState.SUSPECT);
    }

    /**
     * Records a frame; a linked suspect target becomes live, a leaving one stays leaving.
     *
     * @return whether the state changed
     */
    boolean recordFrame(long nowNanos) {
        lastFrameNanos = nowNanos;
        suspicionSuppressed = false;
        boolean wasSuspect = linked && state() == TargetState.SUSPECT;
        if (wasSuspect) {
            view = view.withState(TargetState.LIVE);
        }
        return wasSuspect;
    }

    /** Stores a load unless a newer one of this link is known. */
    void updateLoad(TargetLoad load) {
        if (load.sequence() > view.load().sequence()) {
            view = view.withLoad(load);
        }
    }

    /**
     * Marks the target as leaving.
     *
     * @return whether the state changed
     */
    boolean markLeaving() {
        boolean stateChanged = state() != TargetState.LEAVING;
        view = view.withState(TargetState.LEAVING);
        return stateChanged;
    }

    void markSuspect(long nowNanos) {
        unresponsiveDetectedNanos = nowNanos;
        view = view.withState(TargetState.SUSPECT);
    }

    /** Keeps an unresponsive target live because of a mass event. */
    void suppressSuspicion(long nowNanos) {
        if (!suspicionSuppressed && state() == TargetState.LIVE) {
            unresponsiveDetectedNanos = nowNanos;
        }
        suspicionSuppressed = true;
        view = view.withState(TargetState.LIVE);
    }
}
