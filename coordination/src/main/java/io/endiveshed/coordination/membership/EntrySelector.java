package io.endiveshed.coordination.membership;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.ports.platform.ListedInstance;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Chooses the entries to which a sidecar opens links, by rendezvous hashing within each distance. */
public final class EntrySelector {
    /** Most entries to which one sidecar links. */
    public static final int MAX_ENTRIES = 16;

    private static final int FROM_OWN_DOMAIN = MAX_ENTRIES / 2;
    private static final int FROM_OWN_REGION = MAX_ENTRIES / 4;
    private static final int FROM_ELSEWHERE = MAX_ENTRIES / 4;

    private final InstanceId sidecar;
    private final InstanceLocation place;

    /** Makes the selection of one sidecar. */
    public EntrySelector(InstanceId sidecar, InstanceLocation place) {
        this.sidecar = sidecar;
        this.place = place;
    }

    /**
     * Returns at most {@link #MAX_ENTRIES} candidates: half from the own failure domain, a quarter from elsewhere in
     * the own region and a quarter from other regions. Places that a distance cannot fill go to the nearest others.
     */
    public List<ListedInstance> choose(Collection<ListedInstance> candidates) {
        List<ListedInstance> ranked = ranked(candidates);
        Set<ListedInstance> chosen = new LinkedHashSet<>();
        List<ListedInstance> left = new ArrayList<>();
        for (Distance distance : Distance.values()) {
            int taken = 0;
            for (ListedInstance entry : ranked) {
                if (distance(entry) != distance) {
                    continue;
                }
                if (taken++ < distance.quota) {
                    chosen.add(entry);
                } else {
                    left.add(entry);
                }
            }
        }
        left.stream().limit(MAX_ENTRIES - chosen.size()).forEach(chosen::add);
        return List.copyOf(chosen);
    }

    private List<ListedInstance> ranked(Collection<ListedInstance> candidates) {
        return candidates.stream()
                .map(entry -> new Ranked(
                        RendezvousHash.weight(sidecar.value(), entry.id().value()), entry))
                .sorted(Comparator.comparingLong(Ranked::weight).reversed().thenComparing(ranked -> ranked.entry.id()))
                .map(Ranked::entry)
                .toList();
    }

    private record Ranked(long weight, ListedInstance entry) {}

    private Distance distance(ListedInstance entry) {
        if (!entry.region().equals(place.region())) {
            return Distance.ELSEWHERE;
        }
        return entry.failureDomain().equals(place.failureDomain()) ? Distance.OWN_DOMAIN : Distance.OWN_REGION;
    }

    private enum Distance {
        OWN_DOMAIN(FROM_OWN_DOMAIN),
        OWN_REGION(FROM_OWN_REGION),
        ELSEWHERE(FROM_ELSEWHERE);

        private final int quota;

        Distance(int quota) {
            this.quota = quota;
        }
    }
}
