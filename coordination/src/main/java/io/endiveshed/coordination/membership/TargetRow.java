package io.endiveshed.coordination.membership;

import io.endiveshed.base.id.TargetId;

/** One incarnation of a target in the {@link TargetTable}, which guards it. */
final class TargetRow {
    private final long introducedNanos;
    private TargetView view;
    private long heardNanos;
    private long unlinkedNanos;
    private long silentNanos;
    private boolean linked = true;
    private boolean held;

    TargetRow(TargetView view, long nowNanos) {
        this.view = view;
        this.introducedNanos = nowNanos;
        this.heardNanos = nowNanos;
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

    long introducedNanos() {
        return introducedNanos;
    }

    long heardNanos() {
        return heardNanos;
    }

    boolean isLinked() {
        return linked;
    }

    long unlinkedNanos() {
        return unlinkedNanos;
    }

    /** Returns whether the target is silent and still in use, because the entry's own network is in doubt. */
    boolean isHeld() {
        return held;
    }

    /** Returns when the target was found silent; meaningful only while it is suspect or held. */
    long silentNanos() {
        return silentNanos;
    }

    void relinked(long nowNanos) {
        linked = true;
        view = view.withLoad(TargetLoad.NONE);
        heard(nowNanos);
    }

    void unlinked(long nowNanos) {
        linked = false;
        held = false;
        unlinkedNanos = nowNanos;
        view = view.withState(TargetState.SUSPECT);
    }

    /** Records a frame and tells whether the state changed; a leaving target stays so. */
    boolean heard(long nowNanos) {
        heardNanos = nowNanos;
        held = false;
        boolean wasSuspect = linked && state() == TargetState.SUSPECT;
        if (wasSuspect) {
            view = view.withState(TargetState.LIVE);
        }
        return wasSuspect;
    }

    /** Takes a load unless a newer one of this link is known. */
    void load(TargetLoad load) {
        if (load.sequence() > view.load().sequence()) {
            view = view.withLoad(load);
        }
    }

    boolean leaving() {
        boolean first = state() != TargetState.LEAVING;
        view = view.withState(TargetState.LEAVING);
        return first;
    }

    void suspect(long nowNanos) {
        silentNanos = nowNanos;
        view = view.withState(TargetState.SUSPECT);
    }

    void hold(long nowNanos) {
        if (!held && state() == TargetState.LIVE) {
            silentNanos = nowNanos;
        }
        held = true;
        view = view.withState(TargetState.LIVE);
    }
}
