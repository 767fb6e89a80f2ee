package io.endiveshed.coordination.service;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.Region;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class HomeRegionsTest {
    private static final Region HERE = new Region("here");
    private static final Region THERE = new Region("there");

    /** Guards against a restriction that nobody asked for. */
    @Test
    void requestWithoutHomeRegionsReachesEveryRegion() {
        assertThat(HomeRegions.UNRESTRICTED.include(Optional.of(HERE))).isTrue();
        assertThat(HomeRegions.UNRESTRICTED.include(Optional.empty())).isTrue();
        assertThat(HomeRegions.UNRESTRICTED.and(HomeRegions.UNRESTRICTED).isRestricted())
                .isFalse();
    }

    /** Guards against a request that reaches another region, or a domain whose region is not known. */
    @Test
    void requestReachesOnlyItsHomeRegions() {
        DomainRegions regions = new DomainRegions(Map.of(new FailureDomain("north"), HERE));
        HomeRegions home = HomeRegions.only(Set.of(HERE));
        assertThat(home.include(regions.of(new FailureDomain("north")))).isTrue();
        assertThat(home.include(Optional.of(THERE))).isFalse();
        assertThat(home.include(regions.of(new FailureDomain("unknown")))).isFalse();
    }

    /** Guards against one of two restrictions that replaces the other. */
    @Test
    void restrictionsOfRouteAndAccountBothApply() {
        HomeRegions both = HomeRegions.only(Set.of(HERE, THERE));
        HomeRegions here = HomeRegions.only(Set.of(HERE));
        HomeRegions there = HomeRegions.only(Set.of(THERE));
        assertThat(both.and(there).include(Optional.of(THERE))).isTrue();
        assertThat(both.and(there).include(Optional.of(HERE))).isFalse();
        assertThat(HomeRegions.UNRESTRICTED.and(there).include(Optional.of(HERE)))
                .isFalse();
        assertThat(there.and(HomeRegions.UNRESTRICTED).include(Optional.of(HERE)))
                .isFalse();
        HomeRegions none = here.and(there);
        assertThat(none.isRestricted()).isTrue();
        assertThat(none.include(Optional.of(HERE))).isFalse();
        assertThat(none.include(Optional.of(THERE))).isFalse();
        assertThat(none.toString()).isEqualTo("no region");
    }
}
