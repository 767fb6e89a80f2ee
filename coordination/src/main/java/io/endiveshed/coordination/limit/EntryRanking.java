package io.endiveshed.coordination.limit;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.membership.RendezvousHash;
import java.util.Set;

/** Order of the entries for a target, by which they divide its limits without asking each other. */
final class EntryRanking {
    private EntryRanking() {}

    /** Returns whether an entry is among the given number that rank first for a target. */
    static boolean isAmongFirst(int count, InstanceId target, InstanceId self, Set<InstanceId> entries) {
        if (count >= entries.size()) {
            return entries.contains(self);
        }
        long weight = weight(target, self);
        long ahead = entries.stream()
                .filter(entry -> isAhead(entry, weight(target, entry), self, weight))
                .limit(count)
                .count();
        return ahead < count && entries.contains(self);
    }

    private static long weight(InstanceId target, InstanceId entry) {
        return RendezvousHash.weight(target.value(), entry.value());
    }

    private static boolean isAhead(InstanceId entry, long entryWeight, InstanceId other, long otherWeight) {
        return entryWeight > otherWeight || (entryWeight == otherWeight && entry.compareTo(other) < 0);
    }
}
