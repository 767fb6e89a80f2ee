package io.endiveshed.coordination.limit;

import io.endiveshed.base.id.InstanceId;
import java.util.HashSet;
import java.util.Set;

/**
 * The entries among which an entry divides limits.
 *
 * <p>These are the entries that it hears if they are more than half of those that the store lists, so that the share of
 * one that has left without a trace is not lost. Otherwise this entry may be the one that is cut off, and all that are
 * listed count. At most one group of entries can hear more than half, so a partition divides a limit at most twice.
 *
 * <pre>{@code
 * SharingEntries sharing = SharingEntries.select(self, listed, heard, hasStoreContact);
 * }</pre>
 *
 * @param entries the entries; none if this entry has no means to know of the others
 * @param isMajority whether this entry receives heartbeats from more than half of the listed entries
 * @param hasContact whether this entry has contact with the store or with another entry
 */
public record SharingEntries(Set<InstanceId> entries, boolean isMajority, boolean hasContact) {
    /** Selection of an entry that has no contact yet. */
    public static final SharingEntries NONE = new SharingEntries(Set.of(), false, false);

    public SharingEntries {
        entries = Set.copyOf(entries);
    }

    /**
     * Selects the entries.
     *
     * @param self this entry
     * @param listed entries that the store lists
     * @param heard other entries that were heard of recently
     * @param hasStoreContact whether the store has answered this entry recently
     */
    public static SharingEntries select(
            InstanceId self, Set<InstanceId> listed, Set<InstanceId> heard, boolean hasStoreContact) {
        Set<InstanceId> all = new HashSet<>(listed);
        all.add(self);
        boolean hasContact = hasStoreContact || !heard.isEmpty();
        if (!hasContact && all.size() > 1) {
            return NONE;
        }
        Set<InstanceId> inContact = new HashSet<>(heard);
        inContact.add(self);
        long listedInContact = inContact.stream().filter(all::contains).count();
        if (listedInContact * 2 > all.size()) {
            return new SharingEntries(inContact, true, hasContact);
        }
        all.addAll(heard);
        return new SharingEntries(all, false, hasContact);
    }
}
