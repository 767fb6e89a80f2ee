package io.endiveshed.coordination.pace;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class SpeedEstimateTest {
    private final SpeedReference reference = new SpeedReference();
    private final SpeedEstimate speed = new SpeedEstimate(reference);

    /** Guards against placement that changes on targets in normal service because of one late answer. */
    @Test
    void oneLateAnswerCountsOnlyWhileTheTargetRecovers() {
        speed.add(100, 1, 450, 0);
        assertThat(speed.factor(false, 0)).isEqualTo(1.0);
        assertThat(speed.factor(true, 0)).isWithin(0.02).of(0.26);
    }

    /** Guards against a factor that approaches 1 because predictions that use it become right. */
    @Test
    void answersThatFitAPredictionForASlowTargetKeepItSlow() {
        for (int i = 0; i < 5; i++) {
            speed.add(400, 0.25, 450, 0);
        }
        assertThat(speed.factor(false, 0)).isLessThan(0.35);
    }

    /** Guards against all targets counting as slow in a general overload. */
    @Test
    void targetThatIsAsSlowAsTheOthersCountsAsFast() {
        SpeedEstimate other = new SpeedEstimate(reference);
        for (int i = 0; i < 200; i++) {
            other.add(100, 1, 450, 0);
            speed.add(100, 1, 450, 0);
        }
        assertThat(speed.factor(false, 0)).isEqualTo(1.0);
    }

    /** Guards against a target that was slow once and is avoided for ever. */
    @Test
    void answersOfMoreThanTwentySecondsAgoDoNotCount() {
        for (int i = 0; i < 3; i++) {
            speed.add(100, 1, 450, 0);
        }
        assertThat(speed.factor(false, TimeUnit.SECONDS.toNanos(19))).isLessThan(0.5);
        assertThat(speed.factor(false, TimeUnit.SECONDS.toNanos(21))).isEqualTo(1.0);
    }
}
