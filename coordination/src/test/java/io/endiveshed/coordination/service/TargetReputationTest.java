package io.endiveshed.coordination.service;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class TargetReputationTest {
    private static final long SECOND = 1_000_000_000L;

    private final TargetReputation reputation = new TargetReputation();

    /** Guards against a dark target that is asked again and again, and one that is never asked again. */
    @Test
    void silentTargetIsPausedForLongerEachTimeAndNotForever() {
        reputation.silent(0);
        assertThat(reputation.isPaused(SECOND / 2)).isTrue();
        assertThat(reputation.isPaused(SECOND)).isFalse();
        reputation.silent(SECOND);
        assertThat(reputation.isPaused(2 * SECOND)).isTrue();
        for (int i = 0; i < 10; i++) {
            reputation.silent(10 * SECOND);
        }
        assertThat(reputation.isPaused(13 * SECOND)).isTrue();
        assertThat(reputation.isPaused(14 * SECOND + 1)).isFalse();
    }

    /** Guards against a target that is back and stays paused. */
    @Test
    void answerEndsThePause() {
        reputation.silent(0);
        reputation.answered();
        assertThat(reputation.isPaused(1)).isFalse();
    }

    /** Guards against a target that fails a part of its requests and looks as good as the others. */
    @Test
    void failureRateFollowsTheAnswers() {
        for (int i = 0; i < 50; i++) {
            reputation.failed();
            reputation.answered();
        }
        assertThat(reputation.failureRate()).isWithin(0.1).of(0.5);
    }
}
