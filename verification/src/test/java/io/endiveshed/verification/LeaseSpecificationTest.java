package io.endiveshed.verification;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Checks the specification of leases and fencing in {@code lease.als}, and that it finds faults. */
final class LeaseSpecificationTest {
    private final Specification specification = Specification.of("lease.als");

    /** Guards against a protocol in which the order of a paused holder takes effect after that of a newer one. */
    @Test
    void noStaleOrderTakesEffect() {
        assertThat(specification.isSatisfiable("fenced")).isFalse();
        assertThat(specification.isSatisfiable("secondOrderTakesEffect")).isTrue();
    }

    /** Guards against a specification that cannot see the fault of a sidecar that checks no tokens. */
    @Test
    void uncheckedTokenGivesACounterexample() {
        assertThat(specification.isSatisfiable("tokenNotChecked")).isTrue();
    }

    /** Guards against a specification that cannot see the fault of a sidecar that does not read the lease at start. */
    @Test
    void unreadLeaseGivesACounterexample() {
        assertThat(specification.isSatisfiable("leaseNotRead")).isTrue();
    }
}
