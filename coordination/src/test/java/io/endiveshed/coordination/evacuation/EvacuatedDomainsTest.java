package io.endiveshed.coordination.evacuation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.coordination.availability.TargetStatus;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class EvacuatedDomainsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final FailureDomain NORTH = new FailureDomain("north");
    private static final FailureDomain SOUTH = new FailureDomain("south");

    private final EvacuatedDomains domains = new EvacuatedDomains();

    /** Guards against requests to a domain before it is known whether it is evacuated. */
    @Test
    void targetGetsNothingBeforeTheEvacuationsWereRead() {
        EvacuationGate gate = new EvacuationGate(domains, () -> NORTH);
        assertThat(gate.status(0).reason()).isEqualTo(TargetStatus.Reason.EVACUATIONS_UNREAD);
        domains.replaceAll(Set.of(), 0);
        assertThat(gate.status(0).isAvailable()).isTrue();
        domains.put(NORTH);
        assertThat(gate.status(0).reason()).isEqualTo(TargetStatus.Reason.EVACUATED);
        assertThat(gate.status(0).isWithdrawn()).isTrue();
        domains.remove(NORTH, SECOND);
        assertThat(gate.status(SECOND).isAvailable()).isTrue();
    }

    /** Guards against an evacuation that ends, or is overlooked, because of one of another domain. */
    @Test
    void domainsAreEvacuatedIndependently() {
        domains.replaceAll(Set.of(NORTH), 0);
        domains.put(SOUTH);
        assertThat(domains.evacuated()).containsExactly(NORTH, SOUTH);
        domains.remove(NORTH, SECOND);
        assertThat(domains.evacuated()).containsExactly(SOUTH);
        domains.put(NORTH);
        domains.replaceAll(Set.of(NORTH), 2 * SECOND);
        assertThat(domains.evacuated()).containsExactly(NORTH);
    }

    /** Guards against an evacuation that was lifted while the entry was isolated and stays in force. */
    @Test
    void evacuationThatIsNoLongerListedIsLifted() {
        domains.replaceAll(Set.of(NORTH), 0);
        domains.replaceAll(Set.of(), SECOND);
        assertThat(domains.isEvacuated(NORTH)).isFalse();
        assertThat(domains.nextExpiryNanos().isEmpty()).isTrue();
    }

    /** Guards against an evacuation that an older copy of the store lifts. */
    @Test
    void evacuationThatACopyLacksStaysInForce() {
        domains.replaceAll(Set.of(), 0);
        domains.put(NORTH);
        domains.storeRestored();
        domains.replaceAll(Set.of(), 10 * SECOND);
        assertThat(domains.isEvacuated(NORTH)).isTrue();
        // The history of the new era is gone, so the objects are listed again.
        domains.replaceAll(Set.of(), 11 * SECOND);
        assertThat(domains.isEvacuated(NORTH)).isTrue();

        domains.put(NORTH);
        assertThat(domains.nextExpiryNanos().isEmpty()).isTrue();
        domains.remove(NORTH, 20 * SECOND);
        assertThat(domains.isEvacuated(NORTH)).isFalse();
    }

    /** Guards against an evacuation that two returns of the store in a row lift. */
    @Test
    void evacuationThatTwoCopiesLackStaysInForce() {
        domains.replaceAll(Set.of(NORTH), 0);
        domains.storeRestored();
        domains.replaceAll(Set.of(), 10 * SECOND);
        domains.storeRestored();
        domains.replaceAll(Set.of(), 20 * SECOND);
        assertThat(domains.isEvacuated(NORTH)).isTrue();
        assertThat(domains.nextExpiryNanos().getAsLong())
                .isEqualTo(20 * SECOND + EvacuatedDomains.LOST_OBJECT_HOLD_NANOS);
    }

    /** Guards against a domain without traffic for ever because its evacuation was lifted where nobody saw it. */
    @Test
    void evacuationThatNobodyWritesAgainEndsAfterAWhile() {
        domains.replaceAll(Set.of(NORTH), 0);
        domains.storeRestored();
        domains.replaceAll(Set.of(), 10 * SECOND);
        long end = domains.nextExpiryNanos().orElseThrow();
        domains.expire(end - 1);
        assertThat(domains.isEvacuated(NORTH)).isTrue();
        domains.expire(end);
        assertThat(domains.isEvacuated(NORTH)).isFalse();
    }

    /** Guards against traffic that moves twice because a copy shows an evacuation that the operator has lifted. */
    @Test
    void liftedEvacuationThatACopyShowsTakesEffectOnlyIfItStays() {
        domains.replaceAll(Set.of(NORTH, SOUTH), 0);
        domains.remove(NORTH, SECOND);
        domains.storeRestored();
        domains.replaceAll(Set.of(NORTH, SOUTH), 5 * SECOND);
        assertThat(domains.evacuated()).containsExactly(SOUTH);
        long end = domains.nextExpiryNanos().orElseThrow();
        assertThat(end).isAtMost(6 * SECOND);
        domains.expire(end);
        assertThat(domains.evacuated()).containsExactly(NORTH, SOUTH);
    }

    /** Guards against an evacuation that is written anew after a lift and taken for one that only a copy shows. */
    @Test
    void evacuationThatIsWrittenAgainTakesEffectAtOnce() {
        domains.replaceAll(Set.of(NORTH), 0);
        domains.remove(NORTH, SECOND);
        domains.storeRestored();
        domains.replaceAll(Set.of(NORTH), 5 * SECOND);
        domains.put(NORTH);
        assertThat(domains.isEvacuated(NORTH)).isTrue();
    }

    /** Guards against an evacuation in a copy that takes effect late although it was never lifted here. */
    @Test
    void evacuationInACopyThatWasNeverLiftedTakesEffectAtOnce() {
        domains.replaceAll(Set.of(), 0);
        domains.storeRestored();
        domains.replaceAll(Set.of(NORTH), 5 * SECOND);
        assertThat(domains.isEvacuated(NORTH)).isTrue();
    }

    /** Guards against a failure of the gate when all domains are evacuated at once. */
    @Test
    void allDomainsMayBeEvacuatedAtOnce() {
        domains.replaceAll(Set.of(NORTH, SOUTH), 0);
        for (FailureDomain domain : Set.of(NORTH, SOUTH)) {
            assertWithMessage("%s", domain)
                    .that(new EvacuationGate(domains, () -> domain).status(0).reason())
                    .isEqualTo(TargetStatus.Reason.EVACUATED);
        }
    }
}
