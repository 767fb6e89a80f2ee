package io.endiveshed.coordination.service;

import io.endiveshed.base.id.Region;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The regions that a request may reach. Immutable.
 *
 * <pre>{@code
 * HomeRegions home = route.homeRegions().and(account.homeRegions());
 * boolean mayReach = home.include(regions.of(target.domain()));
 * }</pre>
 */
public final class HomeRegions {
    /** Home regions of a request that may reach every region. */
    public static final HomeRegions UNRESTRICTED = new HomeRegions(false, Set.of());

    private final boolean isRestricted;
    private final Set<Region> regions;

    private HomeRegions(boolean isRestricted, Set<Region> regions) {
        this.isRestricted = isRestricted;
        this.regions = Set.copyOf(regions);
    }

    /** Returns a restriction to the given regions; without one, a request reaches no target at all. */
    public static HomeRegions only(Set<Region> regions) {
        return new HomeRegions(true, regions);
    }

    /** Returns whether there are regions that a request may not reach. */
    public boolean isRestricted() {
        return isRestricted;
    }

    /** Returns whether a request may reach the region; an unknown region is outside of every home region. */
    public boolean include(Optional<Region> region) {
        return !isRestricted || region.map(regions::contains).orElse(false);
    }

    /** Returns the regions that both allow. */
    public HomeRegions and(HomeRegions other) {
        if (!isRestricted || !other.isRestricted) {
            return isRestricted ? this : other;
        }
        Set<Region> common = new HashSet<>(regions);
        common.retainAll(other.regions);
        return only(common);
    }

    /** Returns the names of the regions as a part of a sentence. */
    @Override
    public String toString() {
        if (!isRestricted) {
            return "every region";
        }
        return regions.isEmpty()
                ? "no region"
                : regions.stream().sorted().map(Region::value).collect(Collectors.joining(", "));
    }
}
