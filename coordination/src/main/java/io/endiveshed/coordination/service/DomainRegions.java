package io.endiveshed.coordination.service;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.Region;
import java.util.Map;
import java.util.Optional;

/**
 * Regions of the failure domains.
 *
 * @param regions region by failure domain
 */
public record DomainRegions(Map<FailureDomain, Region> regions) {
    /** Creates regions from a copy of the map. */
    public DomainRegions {
        regions = Map.copyOf(regions);
    }

    /** Returns the region of a domain; empty if it is not known. */
    public Optional<Region> of(FailureDomain domain) {
        return Optional.ofNullable(regions.get(domain));
    }
}
