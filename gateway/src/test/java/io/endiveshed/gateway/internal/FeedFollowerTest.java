package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.endiveshed.ports.platform.ObjectFeed;
import io.endiveshed.ports.platform.StoreError;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class FeedFollowerTest {
    private static final Duration WATCH_TIMEOUT = Duration.ofMillis(2_500);
    private static final Duration MIN_INTERVAL = Duration.ofMillis(400);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeFeed feed = new FakeFeed();
    private final Set<String> known = new HashSet<>();
    private long nowMillis;

    /** Guards against one call for each target of a large fleet whose targets start within seconds. */
    @Test
    void changesThatFollowEachOtherAreReadWithFewCalls() {
        startFollower();
        for (int i = 0; i < 172; i++) {
            feed.put("target-" + i);
            advance(25);
        }
        advance(MIN_INTERVAL.toMillis());

        assertThat(known).hasSize(172);
        long allowedCalls = 172 * 25 / MIN_INTERVAL.toMillis() + 4;
        assertThat((long) feed.calls).isAtMost(allowedCalls);
    }

    /** Guards against a change of a quiet fleet that is known only after the minimum interval. */
    @Test
    void singleChangeIsKnownAtOnce() {
        startFollower();
        advance(1_000);

        feed.put("target-1");
        advance(1);

        assertThat(known).containsExactly("target-1");
    }

    private void startFollower() {
        FeedFollower<String> follower = new FeedFollower<>(
                "targets",
                feed,
                new FeedFollower.Pace(WATCH_TIMEOUT, MIN_INTERVAL),
                channel.eventLoop(),
                () -> new ClockReading(TimeUnit.MILLISECONDS.toNanos(nowMillis), nowMillis),
                EventLog.to(new PrintStream(new ByteArrayOutputStream())),
                new RecordingListener());
        channel.freezeTime();
        follower.start();
        advance(1);
    }

    private void advance(long millis) {
        for (long i = 0; i < millis; i++) {
            nowMillis++;
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            feed.expireWatch(nowMillis);
            channel.runPendingTasks();
        }
    }

    /** Feed that answers a watch as soon as an object has changed. */
    private final class FakeFeed implements ObjectFeed<String> {
        private final List<FeedEvent<String>> changes = new ArrayList<>();
        private CompletableFuture<Either<StoreError, FeedBatch<String>>> openWatch;
        private long openWatchVersion;
        private long openWatchEndMillis;
        private int calls;

        void put(String name) {
            changes.add(new FeedEvent<>(name, changes.size() + 1, Optional.of(name)));
            if (openWatch != null) {
                completeWatch();
            }
        }

        void expireWatch(long atMillis) {
            if (openWatch != null && atMillis >= openWatchEndMillis) {
                completeWatch();
            }
        }

        @Override
        public CompletionStage<Either<StoreError, FeedBatch<String>>> list() {
            calls++;
            return CompletableFuture.completedFuture(Either.right(new FeedBatch<>(changes, changes.size())));
        }

        @Override
        public CompletionStage<Either<StoreError, FeedBatch<String>>> watch(long afterVersion, Duration wait) {
            calls++;
            openWatch = new CompletableFuture<>();
            openWatchVersion = afterVersion;
            openWatchEndMillis = nowMillis + wait.toMillis();
            CompletionStage<Either<StoreError, FeedBatch<String>>> result = openWatch;
            if (afterVersion < changes.size()) {
                completeWatch();
            }
            return result;
        }

        private void completeWatch() {
            CompletableFuture<Either<StoreError, FeedBatch<String>>> watch = openWatch;
            openWatch = null;
            watch.complete(Either.right(
                    new FeedBatch<>(changes.subList((int) openWatchVersion, changes.size()), changes.size())));
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
        public void storeRegained() {}
    }
}
