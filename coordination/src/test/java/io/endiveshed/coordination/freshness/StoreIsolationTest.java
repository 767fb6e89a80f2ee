package io.endiveshed.coordination.freshness;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class StoreIsolationTest {
    /** Guards against callers that wait at an entry which is the only one without the store. */
    @Test
    void entryIsIsolatedIfMostOthersReachTheStore() {
        assertThat(StoreIsolation.isIsolated(3_000, List.of(300L, 900L, 4_000L)))
                .isTrue();
    }

    /** Guards against callers that are sent from entry to entry while the store is away for all or most. */
    @Test
    void entryIsNotIsolatedIfTheStoreIsAwayForOthersToo() {
        assertThat(StoreIsolation.isIsolated(3_000, List.of(3_100L, 2_900L, 300L)))
                .isFalse();
        assertThat(StoreIsolation.isIsolated(Long.MAX_VALUE, List.of())).isFalse();
    }

    /**
     * Guards against an entry that turns callers away between two watches, and against peers that count as cut off then:
     * ages of 2.1 s are usual in a played day without any fault.
     */
    @Test
    void agesBetweenTwoWatchesCountAsConfirmed() {
        assertThat(StoreIsolation.isIsolated(2_130, List.of(100L, 200L))).isFalse();
        assertThat(StoreIsolation.isIsolated(3_000, List.of(2_130L, 2_600L, 4_000L)))
                .isTrue();
    }
}
