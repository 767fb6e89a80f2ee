package io.endiveshed.coordination.sharing;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.membership.RendezvousHash;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the entries of a failure domain that read the store for the others: those that rank first by rendezvous
 * hashing. Entries that know different candidates may select different readers, which costs calls and nothing else.
 */
public final class ReaderRanking {
    /** Fewest entries of a domain with a reader. One reader of two entries would call as often as both do alone. */
    public static final int MIN_ENTRIES = 3;

    /** Fewest entries of a domain with two readers. With fewer, the second one would cost more than it spares. */
    private static final int MIN_ENTRIES_OF_TWO = 6;

    private ReaderRanking() {}

    /** Returns the readers of a domain, best first; none if each entry reads for itself. */
    public static List<InstanceId> readers(FailureDomain domain, Collection<InstanceId> candidates) {
        if (candidates.size() < MIN_ENTRIES) {
            return List.of();
        }
        return candidates.stream()
                .sorted(Comparator.comparingLong(
                                (InstanceId entry) -> RendezvousHash.weight(domain.toString(), entry.value()))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(candidates.size() < MIN_ENTRIES_OF_TWO ? 1 : 2)
                .toList();
    }
}
