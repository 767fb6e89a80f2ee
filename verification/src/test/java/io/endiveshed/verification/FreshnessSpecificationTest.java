package io.endiveshed.verification;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks {@code freshness.als}, the specification of the age of an entry's state, and that it detects faults. */
final class FreshnessSpecificationTest {
    private final AlloySpecification specification = AlloySpecification.parse("freshness.als");

    /** Guards against a request that runs with a key revoked longer ago than the maximum age of state. */
    @Test
    void revokedKeyAuthorizesNoRequestAfterMaxAge() {
        assertThat(specification.isSatisfiable("noRunPastMaxAge")).isFalse();
        assertThat(specification.isSatisfiable("runBeforeMaxAge")).isTrue();
    }

    /** Guards against a specification that misses a suspension, which the monotonic clock does not count. */
    @Test
    void monotonicClockAloneGivesACounterexample() {
        assertThat(specification.isSatisfiable("monotonicClockOnly")).isTrue();
    }

    /** Guards against a specification that misses a time of day that is set back. */
    @Test
    void timeOfDayAloneGivesACounterexample() {
        assertThat(specification.isSatisfiable("timeOfDayOnly")).isTrue();
    }

    /** Guards against a specification that misses a store answer that is already old when it arrives. */
    @Test
    void ageSinceAnswerGivesACounterexample() {
        assertThat(specification.isSatisfiable("ageSinceAnswer")).isTrue();
    }

    /** Guards against a withdrawn key that works again because the store has lost its withdrawal. */
    @Test
    void revokedKeyAuthorizesNoRequestAfterTheStoreHasReturnedToACopy() {
        assertThat(specification.isSatisfiable("noRunPastMaxAgeWithCopies")).isFalse();
        assertThat(specification.isSatisfiable("runAfterReturn")).isTrue();
    }

    /** Guards against a specification that misses a read of the copy, also by a call sent before the return. */
    @Test
    void copiesThatConfirmGiveACounterexample() {
        assertThat(specification.isSatisfiable("copiesConfirm")).isTrue();
        assertThat(specification.isSatisfiable("callsSentBeforeTheReturnConfirm"))
                .isTrue();
    }

    /** Guards against a confirmation by another entry that lets a request run past the maximum age of state. */
    @Test
    void relayedConfirmationAuthorizesNoRequestAfterMaxAge() {
        assertThat(specification.isSatisfiable("noRelayedRunPastMaxAge")).isFalse();
        assertThat(specification.isSatisfiable("relayedRunBeforeMaxAge")).isTrue();
    }

    /** Guards against a specification that misses an answer of another entry which was delayed. */
    @Test
    void ageSinceArrivalOfARelayedConfirmationGivesACounterexample() {
        assertThat(specification.isSatisfiable("relayedAgeSinceArrival")).isTrue();
    }

    /**
     * Documents a known limit: the age is underestimated if the instance is suspended and its time of day is set back
     * by the same amount in the meantime.
     */
    @Test
    void simultaneousClockErrorsGiveACounterexample() {
        assertThat(specification.isSatisfiable("simultaneousClockErrors")).isTrue();
    }
}
