package io.endiveshed.verification;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the specification of the age of what an entry knows in {@code freshness.als}, and that it finds faults. */
final class FreshnessSpecificationTest {
    private final Specification specification = Specification.of("freshness.als");

    /** Guards against a request that runs with a key that was revoked longer ago than the bound. */
    @Test
    void revokedKeyRunsNothingAfterTheBound() {
        assertThat(specification.isSatisfiable("revocationHolds")).isFalse();
        assertThat(specification.isSatisfiable("lastRunBeforeTheBound")).isTrue();
    }

    /** Guards against a specification that cannot see a suspension, which the monotonic clock does not count. */
    @Test
    void monotonicClockAloneGivesACounterexample() {
        assertThat(specification.isSatisfiable("monotonicClockOnly")).isTrue();
    }

    /** Guards against a specification that cannot see a time of day that is set back. */
    @Test
    void timeOfDayAloneGivesACounterexample() {
        assertThat(specification.isSatisfiable("timeOfDayOnly")).isTrue();
    }

    /** Guards against a specification that cannot see an answer that is old when it arrives. */
    @Test
    void ageFromTheAnswerGivesACounterexample() {
        assertThat(specification.isSatisfiable("ageFromTheAnswer")).isTrue();
    }

    /** Keeps the known hole visible: a suspension and an equal jump back while one belief ages. */
    @Test
    void clocksThatErrTogetherGiveACounterexample() {
        assertThat(specification.isSatisfiable("clocksErrTogether")).isTrue();
    }
}
