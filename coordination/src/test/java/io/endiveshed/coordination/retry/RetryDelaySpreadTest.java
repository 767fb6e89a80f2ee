package io.endiveshed.coordination.retry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class RetryDelaySpreadTest {
    /** Guards against callers of an evacuated domain that all return at the same moment. */
    @Test
    void delaysAreSpreadBetweenTheDelayAndItsDouble() {
        assertThat(delay(1_000, 10_000, 0)).isEqualTo(1_000);
        assertThat(delay(1_000, 10_000, 0.5)).isEqualTo(1_500);
        assertThat(delay(1_000, 10_000, 0.999)).isAtMost(2_000);
    }

    /** Guards against delays that are all cut to the longest one that callers accept. */
    @Test
    void delaysAreSpreadBelowTheLongestThatTheCallerAccepts() {
        assertThat(delay(1_000, 300, 0)).isEqualTo(150);
        assertThat(delay(1_000, 300, 0.999)).isAtLeast(290);
        assertThat(delay(1_000, 300, 0.999)).isAtMost(300);
        assertThat(delay(1_000, 0, 0.5)).isEqualTo(0);
    }

    private static long delay(long delayMillis, long longestMillis, double position) {
        return RetryDelaySpread.delay(Duration.ofMillis(delayMillis), Duration.ofMillis(longestMillis), position)
                .toMillis();
    }
}
