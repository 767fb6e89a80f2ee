package io.endiveshed.coordination.config;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.time.OpeningHours;
import java.util.Objects;

/**
 * A place where a model or a plain service is offered.
 *
 * @param region region
 * @param failureDomain failure domain in the region
 * @param hours when it is offered there
 */
public record Offering(Region region, FailureDomain failureDomain, OpeningHours hours) {
    /** Checks that nothing is missing. */
    public Offering {
        Objects.requireNonNull(region);
        Objects.requireNonNull(failureDomain);
        Objects.requireNonNull(hours);
    }

    /** Tells whether this is the given place. */
    public boolean isAt(Region otherRegion, FailureDomain otherDomain) {
        return region.equals(otherRegion) && failureDomain.equals(otherDomain);
    }
}
