package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.limit.ColdBounds;
import io.endiveshed.gateway.GatewaySettings;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.endiveshed.ports.platform.ObjectFeed;
import io.endiveshed.ports.platform.StoreEra;
import io.endiveshed.ports.platform.StoreError;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class FeedFollowerTest {
    private static final Duration MIN_INTERVAL = Duration.ofMillis(400);
    private static final FeedFollower.Pace PACE = new FeedFollower.Pace(Duration.ofMillis(2_500), MIN_INTERVAL);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private FakeFeed feed = new FakeFeed();
    private final Set<String> known = new HashSet<>();
    private boolean hasAppliedAll = true;
    private final Map<StoreCalls.Kind, Integer> countedCalls = new EnumMap<>(StoreCalls.Kind.class);
    private int outages;
    private long nowMillis;

    /** Guards against one call for each target of a large fleet whose targets start within seconds. */
    @Test
    void changesThatFollowEachOtherAreReadWithFewCalls() {
        startFollower(PACE);
        for (int i = 0; i < 172; i++) {
            feed.put("target-" + i);
            advance(25);
        }
        advance(MIN_INTERVAL.toMillis());

        assertThat(known).hasSize(172);
        long allowedCalls = 172 * 25 / MIN_INTERVAL.toMillis() + 4;
        assertThat((long) feed.calls).isAtMost(allowedCalls);
    }

    /** Guards against calls to the store that the metrics do not show, or show under another kind. */
    @Test
    void callsAreCountedByKind() {
        startFollower(PACE);
        advance(6_000);
        assertThat(countedCalls).containsEntry(StoreCalls.Kind.LIST, 1);
        assertThat(countedCalls.values().stream().mapToInt(count -> count).sum())
                .isEqualTo(feed.calls);
    }

    /**
     * Guards against calls to a store that is away which grow with the number of feeds, and against a feed that stays
     * without the store after another one has reached it.
     */
    @Test
    void oneFeedProbesTheStoreForTheOthers() {
        FakeFeed probedFeed = feed;
        FeedFollower<String> prober = startFollower(PACE);
        feed = new FakeFeed();
        FeedFollower<String> other = startFollower(PACE);
        prober.probeFor(List.of(other));
        probedFeed.becomeSilent();
        feed.becomeSilent();
        advanceWith(probedFeed, 4_000);

        int callsBefore = probedFeed.calls + feed.calls;
        advanceWith(probedFeed, 6_000);
        int calls = probedFeed.calls + feed.calls - callsBefore;
        probedFeed.isSilent = false;
        feed.isSilent = false;
        advanceWith(probedFeed, 1_500);

        assertThat(prober.isStoreLost()).isFalse();
        assertThat(other.isStoreLost()).isFalse();
        // In 6 s, one call in 0.4 s of the prober at most, and one in 2 s of the other feed.
        assertThat(calls).isAtMost(6_000 / 400 + 6_000 / 2_000);
    }

    private void advanceWith(FakeFeed otherFeed, long millis) {
        for (long i = 0; i < millis; i++) {
            advance(1);
            otherFeed.expireWatch(nowMillis);
        }
    }

    /** Guards against a change of a quiet fleet that is known only after the minimum interval. */
    @Test
    void singleChangeIsKnownAtOnce() {
        startFollower(PACE);
        advance(1_000);

        feed.put("target-1");
        advance(1);

        assertThat(known).containsExactly("target-1");
    }

    /** Guards against requests to a target that left while the watch of a former outage was still waiting. */
    @Test
    void changeAfterAnOutageIsKnownWithinTheDrainBound() {
        assertChangeAfterAnOutageIsKnown(3_000, 2_000);
    }

    /** Guards against durations that fit only the bounds of the deployments known so far. */
    @Test
    void changeAfterAnOutageIsKnownWithinOtherBounds() {
        assertChangeAfterAnOutageIsKnown(1_500, 1_000);
        assertChangeAfterAnOutageIsKnown(4_000, 3_000);
        assertChangeAfterAnOutageIsKnown(6_000, 2_000);
    }

    private void assertChangeAfterAnOutageIsKnown(long contactWindowMillis, long drainMillis) {
        GatewaySettings.Bounds bounds = bounds(contactWindowMillis, drainMillis);
        for (long untilOutageMillis : new long[] {1, 1_200, 2_490}) {
            for (long outageMillis = 50; outageMillis <= 8_000; outageMillis += 50) {
                feed = new FakeFeed();
                known.clear();
                FeedFollower<String> follower = startFollower(FeedPaces.targets(bounds));
                advance(untilOutageMillis);

                feed.becomeSilent();
                advance(outageMillis);
                feed.isSilent = false;
                advance(contactWindowMillis - drainMillis);
                feed.put("leaving");
                advance(drainMillis);

                assertWithMessage("outage of %s ms, %s ms after the start", outageMillis, untilOutageMillis)
                        .that(known)
                        .containsExactly("leaving");
                follower.stop();
            }
        }
    }

    /** Guards against an evacuation that a lost watch hides for longer than the operator allows. */
    @Test
    void evacuationThatALostWatchHidesIsKnownWithinItsBound() {
        for (long evacuationMillis : new long[] {2_000, 5_000, 10_000}) {
            for (long untilOutageMillis : new long[] {1, 1_200, 3_700}) {
                for (long outageMillis = 10; outageMillis <= 8_000; outageMillis += 470) {
                    feed = new FakeFeed();
                    known.clear();
                    FeedFollower<String> follower =
                            startFollower(FeedPaces.evacuations(bounds(3_000, 2_000, Optional.of(evacuationMillis))));
                    advance(untilOutageMillis);
                    feed.becomeSilent();
                    advance(outageMillis);
                    feed.isSilent = false;
                    feed.put("evacuated");
                    advance(Math.max(evacuationMillis, 3_000));

                    assertWithMessage("outage of %s ms, %s ms after the start", outageMillis, untilOutageMillis)
                            .that(known)
                            .containsExactly("evacuated");
                    follower.stop();
                }
            }
        }
    }

    /** Guards against a feed of evacuations that costs more calls to the store than the feed of targets. */
    @Test
    void feedOfEvacuationsCostsFewCalls() {
        startFollower(FeedPaces.evacuations(bounds(3_000, 2_000, Optional.of(5_000L))));
        advance(60_000);
        assertThat(feed.calls).isAtMost(18);
        feed = new FakeFeed();
        startFollower(FeedPaces.evacuations(bounds(3_000, 2_000, Optional.empty())));
        advance(60_000);
        assertThat(feed.calls).isAtMost(4);
    }

    /** Guards against a change that a lost watch on rarely changing objects hides until its long timeout. */
    @Test
    void refreshedFeedSeesWhatItsLostWatchHides() {
        FeedFollower<String> follower = startFollower(FeedPaces.rareChanges());
        advance(1_000);
        feed.becomeSilent();
        feed.isSilent = false;
        feed.put("hidden");
        advance(5_000);
        assertThat(known).isEmpty();

        follower.refresh();
        advance(1);
        assertThat(known).containsExactly("hidden");
    }

    /** Guards against lost watches of other feeds that nobody repeats after the store was unavailable. */
    @Test
    void otherFeedsCallAgainWhenTheStoreAnswersAgainAfterOneFailedCall() {
        FakeFeed probedFeed = feed;
        FeedFollower<String> prober = startFollower(PACE);
        feed = new FakeFeed();
        prober.probeFor(List.of(startFollower(FeedPaces.rareChanges())));
        advanceWith(probedFeed, 1_000);
        feed.becomeSilent();
        feed.isSilent = false;
        feed.put("hidden");
        advanceWith(probedFeed, 1_000);
        assertThat(known).isEmpty();

        probedFeed.failCurrentCall();
        advanceWith(probedFeed, 1_000);
        assertThat(known).containsExactly("hidden");
    }

    /** Guards against a target that left and gets requests for seconds because one packet of a call was lost. */
    @Test
    void singleFailedCallIsNoOutage() {
        startFollower(PACE);
        feed.put("first");
        advance(1_000);
        feed.failCurrentCall();
        advance(2_000);
        feed.put("second");
        advance(1_000);
        assertThat(known).containsExactly("first", "second");
        assertThat(outages).isEqualTo(0);

        feed.becomeSilent();
        advance(6_000);
        feed.isSilent = false;
        advance(2_000);
        assertThat(outages).isEqualTo(1);
    }

    /** Guards against changes that are never seen because the store came back older and gave their versions out again. */
    @Test
    void changesWhoseVersionsWereGivenOutAgainAreSeen() {
        startFollower(PACE);
        feed.put("first");
        feed.put("lost-1");
        feed.put("lost-2");
        advance(2_000);

        feed.becomeSilent();
        feed.restore(1);
        feed.put("second");
        feed.put("third");
        advance(3_000);
        feed.isSilent = false;
        advance(5_000);

        assertThat(known).containsExactly("first", "second", "third");
    }

    /** Guards against an answer of the store from before its return that replaces what is known since. */
    @Test
    void lateAnswerOfAFormerEraIsIgnored() {
        startFollower(PACE);
        feed.put("first");
        advance(1_000);
        feed.restore(0);
        feed.put("second");
        advance(3_000);
        assertThat(known).containsExactly("second");

        feed.era = new StoreEra(1);
        feed.put("from-the-former-era");
        advance(200);
        assertThat(known).containsExactly("second");
    }

    /** Guards against a key that is accepted because a copy without its withdrawal has just been read. */
    @Test
    void copyIsNoConfirmationBeforeTheOperatorHasWrittenAgain() {
        FeedFollower<String> follower = startFollower(PACE);
        feed.put("first");
        advance(1_000);
        feed.becomeSilent();
        feed.restore(0);
        feed.put("in-the-copy");
        advance(6_000);
        feed.isSilent = false;
        advanceUntilKnown("in-the-copy");
        advance(900);
        assertThat(follower.ageMillis()).isAtLeast(6_000L);
        advance(400);
        assertThat(follower.ageMillis()).isAtMost(400L);
    }

    /** Guards against callers that are refused although the operator has already written again. */
    @Test
    void objectsThatWereWrittenAgainAreConfirmedAtOnce() {
        FeedFollower<String> follower = startFollower(PACE);
        feed.put("first");
        advance(1_000);
        feed.becomeSilent();
        feed.restore(0);
        advance(6_000);
        feed.put("written-again");
        feed.isSilent = false;
        advanceUntilKnown("written-again");
        assertThat(follower.ageMillis()).isAtMost(100L);
    }

    /** Guards against content that was read, is not in force and counts as confirmed. */
    @Test
    void contentThatIsNotInForceConfirmsNothing() {
        FeedFollower<String> follower = startFollower(PACE);
        feed.put("first");
        advance(1_000);
        hasAppliedAll = false;
        feed.put("unreadable");
        advance(6_000);
        assertThat(follower.ageMillis()).isAtLeast(6_000L);
        hasAppliedAll = true;
        feed.put("readable");
        advance(1_000);
        assertThat(follower.ageMillis()).isAtMost(PACE.watchTimeout().toMillis() + 1_000);
    }

    /** Guards against objects that stay unknown after any order of changes, outages and returns to copies. */
    @Test
    void objectsAreKnownAfterAnyScheduleOfOutagesAndReturns() {
        for (long seed = 1; seed <= 200; seed++) {
            Random random = new Random(seed);
            feed = new FakeFeed();
            known.clear();
            FeedFollower<String> follower = startFollower(PACE);
            for (int step = 0; step < 30; step++) {
                switch (random.nextInt(5)) {
                    case 0 -> feed.becomeSilent();
                    case 1 -> feed.isSilent = false;
                    case 2 -> {
                        feed.becomeSilent();
                        feed.restore(random.nextInt(feed.changes.size() + 1));
                    }
                    default -> feed.put("object-" + step);
                }
                advance(random.nextInt(1_500));
            }
            feed.isSilent = false;
            advance(5_000);
            assertWithMessage("seed %s", seed).that(known).containsExactlyElementsIn(feed.names());
            follower.stop();
        }
    }

    private static GatewaySettings.Bounds bounds(long contactWindowMillis, long drainMillis) {
        return bounds(contactWindowMillis, drainMillis, Optional.empty());
    }

    private static GatewaySettings.Bounds bounds(
            long contactWindowMillis, long drainMillis, Optional<Long> evacuationMillis) {
        return new GatewaySettings.Bounds(
                Duration.ofSeconds(5),
                Duration.ofSeconds(2),
                Duration.ofSeconds(8),
                Duration.ofMillis(contactWindowMillis),
                Duration.ofMillis(drainMillis),
                Duration.ofSeconds(9),
                0.2,
                100,
                ColdBounds.DEFAULTS,
                evacuationMillis.map(Duration::ofMillis));
    }

    private FeedFollower<String> startFollower(FeedFollower.Pace pace) {
        FeedFollower<String> follower = new FeedFollower<>(
                "targets",
                feed,
                pace,
                new StoreEras(),
                channel.eventLoop(),
                () -> new ClockReading(TimeUnit.MILLISECONDS.toNanos(nowMillis), nowMillis),
                EventLog.to(new PrintStream(new ByteArrayOutputStream())),
                new RecordingListener(),
                (name, kind) -> countedCalls.merge(kind, 1, Integer::sum));
        channel.freezeTime();
        follower.start();
        advance(1);
        return follower;
    }

    private void advanceUntilKnown(String name) {
        for (int i = 0; i < 5_000 && !known.contains(name); i++) {
            advance(1);
        }
        assertThat(known).contains(name);
    }

    private void advance(long millis) {
        for (long i = 0; i < millis; i++) {
            nowMillis++;
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            feed.expireWatch(nowMillis);
            channel.runPendingTasks();
        }
    }

    /**
     * Feed that answers a watch as soon as an object has changed. Calls that are open while it is silent are never
     * answered and fail after their timeout.
     */
    private final class FakeFeed implements ObjectFeed<String> {
        private final List<FeedEvent<String>> changes = new ArrayList<>();
        private StoreEra era = new StoreEra(1);
        private boolean isSilent;
        private boolean isWatchLost;
        private CompletableFuture<Either<StoreError, FeedBatch<String>>> openWatch;
        private long openWatchVersion;
        private long openWatchEndMillis;
        private int calls;

        void put(String name) {
            changes.add(new FeedEvent<>(name, changes.size() + 1, Optional.of(name)));
            if (openWatch != null && !isWatchLost) {
                completeWatch();
            }
        }

        /** Returns to a copy that has only the first changes. */
        void restore(int changeCount) {
            era = new StoreEra(era.number() + 1);
            changes.subList(changeCount, changes.size()).clear();
        }

        Set<String> names() {
            return changes.stream().map(FeedEvent::name).collect(Collectors.toSet());
        }

        void failCurrentCall() {
            CompletableFuture<Either<StoreError, FeedBatch<String>>> failed = openWatch;
            openWatch = null;
            failed.complete(Either.left(StoreError.UNAVAILABLE));
        }

        void becomeSilent() {
            isSilent = true;
            isWatchLost = true;
        }

        void expireWatch(long atMillis) {
            if (openWatch == null) {
                return;
            }
            if (isWatchLost && atMillis >= openWatchEndMillis + CALL_TIMEOUT.toMillis()) {
                CompletableFuture<Either<StoreError, FeedBatch<String>>> lost = openWatch;
                openWatch = null;
                lost.complete(Either.left(StoreError.UNKNOWN));
            } else if (!isWatchLost && atMillis >= openWatchEndMillis) {
                completeWatch();
            }
        }

        @Override
        public CompletionStage<Either<StoreError, FeedBatch<String>>> list() {
            calls++;
            return CompletableFuture.completedFuture(Either.right(new FeedBatch<>(changes, changes.size(), era)));
        }

        @Override
        public CompletionStage<Either<StoreError, FeedBatch<String>>> watch(long afterVersion, Duration wait) {
            calls++;
            openWatch = new CompletableFuture<>();
            openWatchVersion = afterVersion;
            openWatchEndMillis = nowMillis + wait.toMillis();
            isWatchLost = isSilent;
            CompletionStage<Either<StoreError, FeedBatch<String>>> result = openWatch;
            if (!isWatchLost && afterVersion != changes.size()) {
                completeWatch();
            }
            return result;
        }

        private void completeWatch() {
            CompletableFuture<Either<StoreError, FeedBatch<String>>> watch = openWatch;
            openWatch = null;
            if (openWatchVersion > changes.size()) {
                watch.complete(Either.left(StoreError.TOO_OLD));
                return;
            }
            watch.complete(Either.right(
                    new FeedBatch<>(changes.subList((int) openWatchVersion, changes.size()), changes.size(), era)));
        }
    }

    private final class RecordingListener implements FeedFollower.Listener<String> {
        @Override
        public void listed(FeedBatch<String> batch) {
            known.clear();
            changed(batch);
        }

        @Override
        public void changed(FeedBatch<String> batch) {
            batch.events().forEach(event -> known.add(event.name()));
        }

        @Override
        public boolean hasAppliedAll() {
            return hasAppliedAll;
        }

        @Override
        public void storeRegained(ClockReading lastFailureStart) {
            outages++;
        }

        @Override
        public boolean showsNewWrite(FeedBatch<String> batch, boolean isList) {
            return batch.events().stream().anyMatch(event -> event.name().equals("written-again"));
        }
    }
}
