package io.endiveshed.ports.platform;

import java.util.List;

/**
 * Changes seen by a watch.
 *
 * @param changed objects written since the version asked for, oldest first; empty if the watch timed out
 * @param upTo version from which the next watch goes on
 */
public record WatchBatch(List<StoredObject> changed, ObjectVersion upTo) {
    /** Copies the list. */
    public WatchBatch {
        changed = List.copyOf(changed);
    }
}
