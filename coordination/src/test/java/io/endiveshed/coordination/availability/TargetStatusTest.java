package io.endiveshed.coordination.availability;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.coordination.availability.TargetStatus.Reason;
import org.junit.jupiter.api.Test;

final class TargetStatusTest {
    /** Guards against a target that is used although one of its restrictions forbids it. */
    @Test
    void graverReasonAndLongerWaitOfTwoRestrictionsHold() {
        TargetStatus cold = TargetStatus.unavailable(Reason.COLD, 300);
        TargetStatus evacuated = TargetStatus.unavailable(Reason.EVACUATED, 0);

        assertThat(cold.and(evacuated)).isEqualTo(TargetStatus.unavailable(Reason.EVACUATED, 300));
        assertThat(evacuated.and(cold)).isEqualTo(cold.and(evacuated));
        assertThat(cold.and(TargetStatus.AVAILABLE).isAvailable()).isFalse();
    }
}
