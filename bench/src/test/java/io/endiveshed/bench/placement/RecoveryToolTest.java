package io.endiveshed.bench.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the slow start of targets on simulated engines in virtual time with fixed seeds. */
final class RecoveryToolTest {
    private static final int ENTRIES = 5;
    private static final int RUNS = 4;

    /** Guards against engines that come back slow and are filled as if they were fast. */
    @Test
    void domainThatReturnsColdIsNotOverfilled() {
        RecoveryResult before = simulate("domain returns cold", RecoveryPolicy.BEFORE);
        RecoveryResult now = simulate("domain returns cold", RecoveryPolicy.SLOW_START);
        assertThat(before.peakOpenShare).isGreaterThan(2.0);
        assertThat(now.peakOpenShare).isLessThan(1.5);
        assertThat(now.lateAtAffected + now.lateElsewhere + now.refused)
                .isLessThan(before.lateAtAffected + before.lateElsewhere + before.refused);
    }

    /** Guards against a slow start that makes callers worse off where no target starts or fails. */
    @Test
    void targetsWithoutFaultServeAsBefore() {
        RecoveryResult before = simulate("nothing happens", RecoveryPolicy.BEFORE);
        RecoveryResult now = simulate("nothing happens", RecoveryPolicy.SLOW_START);
        assertThat(now.lateAtAffected + now.refused).isAtMost(before.lateAtAffected + before.refused + RUNS);
    }

    private static RecoveryResult simulate(String name, RecoveryPolicy policy) {
        return RecoveryTool.simulate(ENTRIES, RecoveryScenario.all().get(name), policy, RUNS);
    }
}
