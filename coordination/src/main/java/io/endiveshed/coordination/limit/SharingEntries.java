package io.endiveshed.coordination.limit;

import io.endiveshed.base.id.InstanceId;
import java.util.HashSet;
import java.util.Set;

/**
 * Selects the entries among which an entry divides limits.
 *
 * <p>These are the entries that it hears if they are more than half of those that the store lists, so that the share of
 * one that has left without a trace is not lost. Otherwise this entry may be the one that is cut off, and all that are
 * listed count. At most one group of entries can hear more than half, so a partition divides a limit at most twice.
 *
 * <pre>{@code
 * Set<InstanceId> entries = SharingEntries.select(self, listed, heard, hasStoreContact);
 * }</pre>
 */
public final class SharingEntries {
    private SharingEntries() {}

    /**
     * Returns the entries, or none if this entry has no means to know of the others.
     *
     * @param self this entry
     * @param listed entries that the store lists
     * @param heard other entries that were heard of recently
     * @param hasStoreContact whether the store has answered this entry recently
     */
    public static Set<InstanceId> select(
            InstanceId self, Set<InstanceId> listed, Set<InstanceId> heard, boolean hasStoreContact) {
        Set<InstanceId> all = new HashSet<>(listed);
        all.add(self);
        if (!hasStoreContact && heard.isEmpty() && all.size() > 1) {
            return Set.of();
        }
        Set<InstanceId> inContact = new HashSet<>(heard);
        inContact.add(self);
        long listedInContact = inContact.stream().filter(all::contains).count();
        if (listedInContact * 2 > all.size()) {
            return inContact;
        }
        all.addAll(heard);
        return all;
    }
}
