package io.endiveshed.coordination.freshness;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class StoreIsolationTest {
    /** Guards against callers that wait at an entry which is the only one without the store. */
    @Test
    void entryIsIsolatedIfMostOthersReachTheStore() {
        assertThat(StoreIsolation.isIsolated(2_500, List.of(300L, 900L, 4_000L)))
                .isTrue();
    }

    /** Guards against callers that are sent from entry to entry while the store is away for all or most. */
    @Test
    void entryIsNotIsolatedIfTheStoreIsAwayForOthersToo() {
        assertThat(StoreIsolation.isIsolated(2_500, List.of(2_600L, 2_400L, 300L)))
                .isFalse();
        assertThat(StoreIsolation.isIsolated(Long.MAX_VALUE, List.of())).isFalse();
    }

    /** Guards against an entry that turns callers away between two watches. */
    @Test
    void entryWithAConfirmedStateIsNotIsolated() {
        assertThat(StoreIsolation.isIsolated(1_700, List.of(100L, 200L))).isFalse();
    }
}
