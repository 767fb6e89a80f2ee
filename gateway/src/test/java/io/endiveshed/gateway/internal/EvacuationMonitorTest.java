package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.evacuation.EvacuatedDomains;
import io.endiveshed.coordination.evacuation.EvacuationGate;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.endiveshed.ports.platform.ObjectFeed;
import io.endiveshed.ports.platform.StoreEra;
import io.endiveshed.ports.platform.StoreError;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Evacuations as they are read from the store, in virtual time. */
final class EvacuationMonitorTest {
    private static final FailureDomain NORTH = new FailureDomain("north");
    private static final FailureDomain SOUTH = new FailureDomain("south");

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final EventLog log = EventLog.to(new PrintStream(logged, true, StandardCharsets.UTF_8));
    private final FakeFeed feed = new FakeFeed();
    private final EvacuatedDomains domains = new EvacuatedDomains();
    private final EvacuationMonitor monitor = new EvacuationMonitor(
            domains, channel.eventLoop(), this::nowNanos, new GatewayMetrics(new MetricRegistry()), log);
    private long nowMillis;

    EvacuationMonitorTest() {
        channel.freezeTime();
        log.start();
    }

    /** Guards against an entry that serves before it has read the evacuations. */
    @Test
    void nothingIsReadWhileTheStoreIsUnavailable() {
        feed.isDown = true;
        start();
        advance(5_000);
        assertThat(monitor.isRead()).isFalse();
        feed.isDown = false;
        advance(1_000);
        assertThat(monitor.isRead()).isTrue();
    }

    /** Guards against an evacuation that a failed read lifts, and one written or lifted meanwhile that is overlooked. */
    @Test
    void evacuationsOutlastAnOutage() {
        start();
        feed.put("north");
        advance(1);
        assertThat(isEvacuated(NORTH)).isTrue();

        feed.fail();
        advance(20_000);
        assertThat(isEvacuated(NORTH)).isTrue();
        feed.put("south");
        feed.delete("north");
        advance(1_000);
        assertThat(isEvacuated(NORTH)).isTrue();

        feed.isDown = false;
        advance(1_000);
        assertThat(isEvacuated(NORTH)).isFalse();
        assertThat(isEvacuated(SOUTH)).isTrue();
    }

    /** Guards against an evacuation that is lifted by an older copy of the store. */
    @Test
    void evacuationIsNotLiftedByAnOlderCopy() {
        start();
        feed.put("north");
        advance(1_000);
        feed.fail();
        feed.restore(0);
        feed.isDown = false;
        advance(30_000);
        assertThat(isEvacuated(NORTH)).isTrue();
        feed.put("north");
        advance(1_000);
        feed.delete("north");
        advance(1_000);
        assertThat(isEvacuated(NORTH)).isFalse();
    }

    /** Guards against a domain without traffic for ever because its object was lost with a copy and never written again. */
    @Test
    void evacuationThatIsLostWithACopyEnds() {
        start();
        feed.put("north");
        advance(1_000);
        feed.fail();
        feed.restore(0);
        feed.isDown = false;
        advance(70_000);
        assertThat(isEvacuated(NORTH)).isFalse();
    }

    /** Guards against an evacuation that is ignored because its object has a specification of another form. */
    @Test
    void objectThatCannotBeDecodedEvacuatesItsDomain() {
        feed.changes.add(FeedEvent.unreadable("north", 1));
        feed.changes.add(FeedEvent.unreadable("a\nb", 2));
        start();
        assertThat(isEvacuated(NORTH)).isTrue();
        assertThat(isEvacuated(SOUTH)).isFalse();
    }

    /** Guards against a misspelt domain that nobody notices, and a line for one whose targets were switched off. */
    @Test
    void evacuationOfAnUnknownDomainIsLoggedOnce() throws InterruptedException {
        start();
        monitor.logUnknown(Set.of());
        feed.put("nroth");
        advance(1);
        monitor.logUnknown(Set.of(NORTH, SOUTH));
        assertThat(isEvacuated(NORTH)).isFalse();
        assertThat(isEvacuated(SOUTH)).isFalse();
        feed.put("north");
        advance(1);
        monitor.logUnknown(Set.of(SOUTH));
        assertThat(unknownDomains()).isEqualTo(1);
    }

    private long unknownDomains() throws InterruptedException {
        log.stop();
        return logged.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("evacuation.unknown-domain"))
                .count();
    }

    private boolean isEvacuated(FailureDomain domain) {
        return !new EvacuationGate(domains, () -> domain).status(nowNanos()).isAvailable();
    }

    private void start() {
        new FeedFollower<>(
                        "evacuations",
                        feed,
                        FeedPaces.rareChanges(),
                        new StoreEras(),
                        channel.eventLoop(),
                        () -> new ClockReading(nowNanos(), nowMillis),
                        log,
                        monitor,
                        (name, kind) -> {})
                .start();
        advance(1);
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private void advance(long millis) {
        for (long i = 0; i < millis; i++) {
            nowMillis++;
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
    }

    /** Feed whose calls fail at once while it is down; a watch otherwise waits for the next change. */
    private static final class FakeFeed implements ObjectFeed<FailureDomain> {
        private final List<FeedEvent<FailureDomain>> changes = new ArrayList<>();
        private CompletableFuture<Either<StoreError, FeedBatch<FailureDomain>>> watch = new CompletableFuture<>();
        private long watchVersion;
        private long era = 1;
        private boolean isDown;

        void put(String name) {
            change(name, Optional.of(new FailureDomain(name)));
        }

        void delete(String name) {
            change(name, Optional.empty());
        }

        void fail() {
            isDown = true;
            watch.complete(Either.left(StoreError.UNAVAILABLE));
        }

        void restore(int changeCount) {
            era++;
            changes.subList(changeCount, changes.size()).clear();
        }

        private void change(String name, Optional<FailureDomain> value) {
            changes.add(new FeedEvent<>(name, changes.size() + 1, value));
            if (!isDown) {
                answerWatch();
            }
        }

        @Override
        public CompletionStage<Either<StoreError, FeedBatch<FailureDomain>>> list() {
            return CompletableFuture.completedFuture(
                    isDown ? Either.left(StoreError.UNAVAILABLE) : Either.right(batch(0)));
        }

        @Override
        public CompletionStage<Either<StoreError, FeedBatch<FailureDomain>>> watch(long after, Duration wait) {
            watch = new CompletableFuture<>();
            watchVersion = after;
            if (isDown) {
                watch.complete(Either.left(StoreError.UNAVAILABLE));
            } else if (after != changes.size()) {
                answerWatch();
            }
            return watch;
        }

        private void answerWatch() {
            watch.complete(
                    watchVersion > changes.size()
                            ? Either.left(StoreError.TOO_OLD)
                            : Either.right(batch((int) watchVersion)));
        }

        private FeedBatch<FailureDomain> batch(int after) {
            return new FeedBatch<>(changes.subList(after, changes.size()), changes.size(), new StoreEra(era));
        }
    }
}
