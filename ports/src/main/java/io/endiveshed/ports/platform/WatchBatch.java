package io.endiveshed.ports.platform;

import java.util.List;

/**
 * Changes that a watch returns.
 *
 * @param changed objects written after the requested version, oldest first; empty if the watch timed out
 * @param upTo version from which the next watch continues
 */
public record WatchBatch(List<StoredObject> changed, ObjectVersion upTo) {
    /** Creates a batch with a copy of the list. */
    public WatchBatch {
        changed = List.copyOf(changed);
    }
}
