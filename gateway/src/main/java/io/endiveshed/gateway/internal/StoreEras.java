package io.endiveshed.gateway.internal;

import io.endiveshed.ports.platform.StoreEra;
import java.util.ArrayList;
import java.util.List;

/** Newest era of the store that any feed has seen. Confined to one event loop. */
final class StoreEras {
    private final List<Listener> listeners = new ArrayList<>();
    private StoreEra newest;

    /** Adds a listener. */
    void addListener(Listener listener) {
        listeners.add(listener);
    }

    /** Records the era of an answer, and calls the listeners if it is newer than a known one. */
    void observe(StoreEra era) {
        if (newest == null) {
            newest = era;
        } else if (era.isAfter(newest)) {
            StoreEra before = newest;
            newest = era;
            listeners.forEach(listener -> listener.storeRestored(before, era));
        }
    }

    /** Returns whether the store has been restored since an answer of the given era was made. */
    boolean isOutdated(StoreEra era) {
        return newest != null && newest.isAfter(era);
    }

    /** Is told of restores of the store. */
    interface Listener {
        /** Called when the store has come back from an older copy, at the first answer that shows it. */
        void storeRestored(StoreEra before, StoreEra now);
    }
}
