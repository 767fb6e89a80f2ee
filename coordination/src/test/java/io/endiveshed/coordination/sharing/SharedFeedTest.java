package io.endiveshed.coordination.sharing;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.freshness.Freshness;
import io.endiveshed.coordination.sharing.SharedFeed.Verdict;
import io.endiveshed.ports.platform.FeedEvent;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class SharedFeedTest {
    private static final SharedFeed.Limits LIMITS = new SharedFeed.Limits(1_800, 10_000, 600);

    private final SharedFeed feed = feedWith("a", 7);

    /** Guards against an age that is counted from the arrival of an answer which was delayed. */
    @Test
    void confirmationCountsFromTheQuestion() {
        assertThat(feed.receive(report(1, 7, 400), at(1_000), at(6_000), true)).isEqualTo(Verdict.CONFIRMED);
        assertThat(feed.confirmedByPeers().ageMillis(at(6_000))).isEqualTo(5_400);
        assertThat(feed.report(Freshness.NEVER, at(6_000)).orElseThrow().ageMillis())
                .isEqualTo(OptionalLong.of(5_400));
    }

    /** Guards against a late answer that makes what is known older or hides a newer confirmation. */
    @Test
    void olderConfirmationChangesNothing() {
        feed.confirmed(at(2_000));
        feed.receive(report(1, 7, 0), at(1_000), at(2_100), true);
        assertThat(feed.report(Freshness.NEVER, at(2_100)).orElseThrow().ageMillis())
                .isEqualTo(OptionalLong.of(100));
    }

    /** Guards against objects that count as confirmed although the other entry holds different ones. */
    @Test
    void otherObjectsConfirmNothing() {
        SharedFeed other = feedWith("a", 8);
        FeedReport newer = confirmedReport(other);
        assertThat(feed.receive(newer, at(1_000), at(1_001), true)).isEqualTo(Verdict.READ);
        assertThat(other.receive(confirmedReport(feed), at(1_000), at(1_001), true))
                .isEqualTo(Verdict.NONE);
        assertThat(feed.confirmedByPeers()).isEqualTo(Freshness.NEVER);
    }

    /** Guards against versions that are compared across a return of the store to an older copy. */
    @Test
    void reportOfAnotherEraConfirmsNothing() {
        assertThat(feed.receive(report(2, 3, 0), at(1_000), at(1_001), true)).isEqualTo(Verdict.READ);
        assertThat(feed.receive(report(0, 9, 0), at(1_000), at(1_001), true)).isEqualTo(Verdict.NONE);
    }

    /** Guards against a copy that counts as confirmed by a call from before the return of the store. */
    @Test
    void confirmationOfAFormerEraIsNotTold() {
        feed.confirmed(at(1_000));
        feed.known(2, 7);
        assertThat(feed.report(Freshness.NEVER, at(1_100)).orElseThrow().ageMillis())
                .isEqualTo(OptionalLong.empty());
    }

    /** Guards against a desired state that cannot be decoded here and is confirmed by an entry that can decode it. */
    @Test
    void objectsThatAreNotInForceAreNotConfirmed() {
        assertThat(feed.receive(report(1, 7, 0), at(1_000), at(1_001), false)).isEqualTo(Verdict.NONE);
    }

    /** Guards against an entry that waits for a reader which is frozen, or relies on forged answers for ever. */
    @Test
    void entryCallsTheStoreWithoutConfirmationAndAfterAnAbsoluteLimit() {
        feed.confirmed(at(0));
        assertThat(feed.millisUntilCall(at(0))).isEqualTo(0);
        feed.receive(report(1, 7, 300), at(1_000), at(1_100), true);
        assertThat(feed.millisUntilCall(at(1_100))).isEqualTo(1_400);
        assertThat(feed.millisUntilCall(at(2_500))).isEqualTo(0);
        feed.receive(report(1, 7, 0), at(9_900), at(9_900), true);
        assertThat(feed.millisUntilCall(at(9_900))).isEqualTo(100);
    }

    /** Guards against changes that are applied to other objects than those they were made to. */
    @Test
    void onlyChangesThatFollowTheOwnObjectsApply() {
        SharedFeed reader = feedWith("a", 7);
        SharedFeed follower = feedWith("a", 7);
        SharedFeed ahead = feedWith("a", 7);
        SharedFeed other = feedWith("b", 6);
        reader.changed(put("b", 8));
        ahead.changed(put("b", 8));
        reader.changed(new FeedEvent<>("a", 9, Optional.empty()));
        reader.known(1, 9);
        FeedChanges told = reader.changes().orElseThrow();

        assertThat(follower.missing(told)).isEqualTo(told.changes());
        assertThat(ahead.missing(told)).containsExactly(told.changes().get(1));
        assertThat(other.missing(told)).isEmpty();
        assertThat(reader.missing(told)).isEmpty();
        assertThat(follower.missing(told.withoutFirst(1))).isEmpty();
        follower.known(2, 7);
        assertThat(follower.missing(told)).isEmpty();
        ahead.changed(new FeedEvent<>("a", 9, Optional.empty()));
        assertThat(ahead.objects().value()).isEqualTo(reader.objects().value());
    }

    /** Guards against changes with a gap, where one was read whose content is not kept. */
    @Test
    void changeWithoutContentEndsWhatIsTold() {
        feed.changed(put("b", 8));
        feed.changed(new FeedEvent<>("c", 9, Optional.of("c")));
        assertThat(feed.changes()).isEqualTo(Optional.empty());
    }

    /** Guards against a peer that takes what it has for the newest while a reader is reading a change. */
    @Test
    void reportOfUnreadChangesMakesPeersRead() {
        SharedFeed peer = feedWith("a", 7);
        feed.confirmed(at(900));
        feed.changesArrive();
        FeedReport report = feed.report(Freshness.NEVER, at(1_000)).orElseThrow();
        assertThat(report.ageMillis()).isEqualTo(OptionalLong.empty());
        assertThat(peer.receive(report, at(1_000), at(1_001), true)).isEqualTo(Verdict.READ);

        feed.known(1, 8);
        assertThat(feed.report(Freshness.NEVER, at(1_000)).orElseThrow().ageMillis())
                .isEqualTo(OptionalLong.of(100));
    }

    /** Guards against an entry whose memory fills with former versions of a large object. */
    @Test
    void keptChangesAreBoundedByTheirLength() {
        String half = "x".repeat(SharedFeed.MAX_CHANGES_LENGTH / 2);
        for (int version = 8; version < 12; version++) {
            feed.changed(new FeedEvent<>("a", version, Optional.of("a")).withSource(half));
        }
        List<FeedChanges.Change> kept = feed.changes().orElseThrow().changes();
        assertThat(kept.stream().map(FeedChanges.Change::version).toList())
                .containsExactly(10L, 11L)
                .inOrder();
        assertThat(feedWith("a", 9).missing(feed.changes().orElseThrow())).isEqualTo(kept);

        feed.changed(new FeedEvent<>("a", 12, Optional.of("a")).withSource(half + half + "x"));
        assertThat(feed.changes()).isEqualTo(Optional.empty());
    }

    private static FeedEvent<String> put(String name, long version) {
        return new FeedEvent<>(name, version, Optional.of(name)).withSource(name);
    }

    /** Guards against answers that the entry did not ask for, which anyone may send. */
    @Test
    void onlyAnswersWithTheNumberOfARecentQuestionCount() {
        InstanceId self = new InstanceId("entry-0");
        Set<InstanceId> others = Set.of(new InstanceId("entry-1"), new InstanceId("entry-2"));
        SharingPeers peers = new SharingPeers(self, new FailureDomain("north"), () -> 42);
        assertThat(peers.questions(others, false, at(0))).isEmpty();
        Set<InstanceId> more = Set.of(new InstanceId("entry-1"), new InstanceId("entry-2"), new InstanceId("entry-3"));
        InstanceId reader = peers.questions(more, false, at(0)).get(0).entry();
        assertThat(peers.answered(reader, 41, at(10))).isEmpty();
        assertThat(peers.answered(new InstanceId("entry-9"), 42, at(10))).isEmpty();
        assertThat(peers.answered(reader, 42, at(10)).orElseThrow()).isEqualTo(at(0));
    }

    private static SharedFeed feedWith(String name, long version) {
        SharedFeed feed = new SharedFeed("targets", LIMITS);
        feed.objects().put(name, version);
        feed.known(1, version);
        return feed;
    }

    private static FeedReport confirmedReport(SharedFeed feed) {
        feed.confirmed(at(900));
        return feed.report(Freshness.NEVER, at(1_000)).orElseThrow();
    }

    private FeedReport report(long era, long version, long ageMillis) {
        long digest = feed.objects().value().orElseThrow();
        return new FeedReport("targets", era, version, digest, OptionalLong.of(ageMillis), OptionalLong.empty());
    }

    private static ClockReading at(long millis) {
        return new ClockReading(millis * 1_000_000, millis);
    }
}
