package io.endiveshed.coordination.config;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.time.OpeningHours;
import java.util.Objects;

/**
 * Location and hours at which a model or a plain service is offered.
 *
 * @param region region of the location
 * @param failureDomain failure domain in the region
 * @param hours opening hours at the location
 */
public record Offering(Region region, FailureDomain failureDomain, OpeningHours hours) {
    /** Creates an offering; throws a {@link NullPointerException} if a component is null. */
    public Offering {
        Objects.requireNonNull(region);
        Objects.requireNonNull(failureDomain);
        Objects.requireNonNull(hours);
    }

    /** Returns whether this offering is at the given location. */
    public boolean isAt(Region otherRegion, FailureDomain otherDomain) {
        return region.equals(otherRegion) && failureDomain.equals(otherDomain);
    }
}
