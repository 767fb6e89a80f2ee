package io.endiveshed.coordination.service;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

final class TargetListTest {
    private static final long SECOND = 1_000_000_000L;

    private final TargetList list = new TargetList(Duration.ofSeconds(3));

    /** Guards against a target that gets requests after the platform has removed it from the list. */
    @Test
    void missingTargetIsRemovedAtOnceWhileTheStoreAnswers() {
        list.replaceAll(List.of(target("a", false, 1), target("b", false, 1)), 10 * SECOND);
        list.remove(new InstanceId("a"), 11 * SECOND);
        assertThat(ids()).containsExactly("b");
    }

    /** Guards against removing all targets because their list entries expired while the store was unavailable. */
    @Test
    void missingTargetIsKeptForAGracePeriodAfterTheStoreRecovers() {
        list.replaceAll(List.of(target("a", false, 1), target("b", false, 1)), 10 * SECOND);
        list.storeRegained(20 * SECOND, 20 * SECOND);
        list.replaceAll(List.of(), 20 * SECOND);
        assertThat(ids()).containsExactly("a", "b");
        list.put(target("b", false, 1));
        assertThat(list.removeExpired(20 * SECOND + TargetList.RECOVERY_GRACE_NANOS - 1))
                .isFalse();
        assertThat(list.removeExpired(20 * SECOND + TargetList.RECOVERY_GRACE_NANOS))
                .isTrue();
        assertThat(ids()).containsExactly("b");
    }

    /** Guards against requests to a target that has left and is ready again in a copy to which the store returned. */
    @Test
    void targetThatHasLeftIsNotUsedBecauseTheStoreShowsItAgain() {
        list.replaceAll(List.of(target("a", false, 1), target("b", false, 1)), 10 * SECOND);
        list.remove(new InstanceId("a"), 11 * SECOND);
        list.storeRestored(12 * SECOND);
        list.replaceAll(List.of(target("a", false, 1), target("b", false, 1)), 12 * SECOND);
        assertThat(list.isUsable(target("a", false, 1))).isFalse();
        assertThat(list.isUsable(target("b", false, 1))).isTrue();
        assertThat(list.isUsable(target("a", false, 2))).isTrue();

        list.put(target("a", false, 1));
        assertThat(list.isUsable(target("a", false, 1))).isTrue();
    }

    /** Guards against a target that lives and stays unusable after the store has returned to a copy. */
    @Test
    void targetThatIsStillListedAfterAWhileIsUsedAgain() {
        list.replaceAll(List.of(target("a", false, 1)), 10 * SECOND);
        list.remove(new InstanceId("a"), 11 * SECOND);
        list.storeRestored(12 * SECOND);
        list.replaceAll(List.of(target("a", false, 1)), 12 * SECOND);
        long expiry = list.nextExpiryNanos().orElseThrow();
        assertThat(expiry).isAtMost(18 * SECOND);
        assertThat(list.removeExpired(expiry)).isTrue();
        assertThat(list.isUsable(target("a", false, 1))).isTrue();
        assertThat(ids()).containsExactly("a");
    }

    /** Guards against removing targets that the copy does not have, if no call to the store has failed. */
    @Test
    void targetsMissingInACopyAreKeptForAGracePeriod() {
        list.replaceAll(List.of(target("a", false, 1), target("b", false, 1)), 10 * SECOND);
        list.storeRestored(12 * SECOND);
        list.replaceAll(List.of(target("a", false, 1)), 12 * SECOND);
        assertThat(ids()).containsExactly("a", "b");
        assertThat(list.removeExpired(15 * SECOND)).isTrue();
        assertThat(ids()).containsExactly("a");
    }

    /** Guards against requests to a target that left while the store was unavailable for this instance only. */
    @Test
    void gracePeriodEndsWhenTheBoundsHoldAgain() {
        list.replaceAll(List.of(target("a", false, 1)), 10 * SECOND);
        list.storeRegained(20 * SECOND, 21 * SECOND);
        list.remove(new InstanceId("a"), 21 * SECOND);
        assertThat(ids()).containsExactly("a");
        long expiry = list.nextExpiryNanos().orElseThrow();
        assertThat(expiry).isAtMost(23 * SECOND);
        assertThat(list.removeExpired(expiry)).isTrue();
        assertThat(ids()).isEmpty();
    }

    /** Guards against requests to a target that left, after a call that took long to fail. */
    @Test
    void missingTargetIsRemovedAtOnceIfTheBoundsAlreadyHold() {
        list.replaceAll(List.of(target("a", false, 1)), 10 * SECOND);
        list.storeRegained(20 * SECOND, 24 * SECOND);
        list.remove(new InstanceId("a"), 24 * SECOND);
        assertThat(ids()).isEmpty();
    }

    /** Guards against new requests to a draining target after a stale report that it is ready. */
    @Test
    void drainingTargetStaysUnusableUntilItIsStartedAgain() {
        list.put(target("a", true, 1));
        assertThat(list.isUsable(target("a", false, 1))).isFalse();
        assertThat(list.isUsable(target("a", false, 2))).isTrue();
    }

    /** Guards against new requests to a target that left, after a list of the store that does not know it yet. */
    @Test
    void targetThatSaysThatItLeavesStaysUnusableUntilItIsStartedAgain() {
        list.put(target("a", false, 1));
        list.markLeaving(target("a", false, 1));
        list.replaceAll(List.of(target("a", false, 1)), 10 * SECOND);
        assertThat(list.isUsable(target("a", false, 1))).isFalse();
        assertThat(list.isUsable(target("a", false, 2))).isTrue();
    }

    private List<String> ids() {
        return list.targets().stream().map(target -> target.id().value()).toList();
    }

    private static TargetInstance target(String id, boolean draining, long started) {
        return new TargetInstance(
                new InstanceId(id),
                new ServiceName("s"),
                new Endpoint("10.0.0.1", 80),
                new FailureDomain("north"),
                8,
                draining,
                started);
    }
}
