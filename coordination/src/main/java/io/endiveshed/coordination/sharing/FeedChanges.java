package io.endiveshed.coordination.sharing;

import java.util.List;
import java.util.Optional;

/**
 * Changes of a feed that an entry sends to its peers, so that they need not read them from the store.
 *
 * @param feed name of the feed
 * @param era number of the era of the store
 * @param version version of the store up to which the changes go
 * @param digestBefore digest of the objects before the first change
 * @param changes changes in their order
 */
public record FeedChanges(String feed, long era, long version, long digestBefore, List<Change> changes) {
    /** Creates changes with a copy of the list. */
    public FeedChanges {
        changes = List.copyOf(changes);
    }

    /**
     * Returns the changes that an entry with objects of the given digest lacks; none if it did not hold these objects
     * between any two of the changes, because they do not apply to its objects then.
     */
    public List<Change> after(long digest) {
        int next = digest == digestBefore ? 0 : changes.size();
        for (int i = 0; i < changes.size(); i++) {
            if (changes.get(i).digestAfter == digest) {
                next = i + 1;
            }
        }
        return changes.subList(next, changes.size());
    }

    /** Returns the changes without the oldest ones. */
    public FeedChanges withoutFirst(int count) {
        return count == 0
                ? this
                : new FeedChanges(
                        feed, era, version, changes.get(count - 1).digestAfter, changes.subList(count, changes.size()));
    }

    /**
     * Change of one object.
     *
     * @param name name of the object
     * @param version its version in the store
     * @param digestAfter digest of all objects after the change
     * @param source specification in the form of the store; empty if the object was deleted
     */
    public record Change(String name, long version, long digestAfter, Optional<String> source) {}
}
