package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
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
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Entries of three failure domains that follow two feeds of one store, in virtual time and without a network. */
final class SharingSimulation {
    static final int CATALOG = 0;
    static final int TARGETS = 1;
    static final GatewaySettings.Bounds BOUNDS = new GatewaySettings.Bounds(
            Duration.ofSeconds(5),
            Duration.ofSeconds(3),
            Duration.ofSeconds(8),
            Duration.ofMillis(3_700),
            Duration.ofSeconds(3),
            Duration.ofSeconds(9),
            0.2,
            100,
            ColdBounds.DEFAULTS,
            Optional.empty());
    private static final EventLog LOG = EventLog.to(new PrintStream(OutputStream.nullOutputStream()));
    private static final int STEP_MILLIS = 5;
    private static final int HEARTBEAT_MILLIS = 500;
    private static final int DOMAINS = 3;

    final Random random;
    final List<Entry> entries = new ArrayList<>();
    final List<Store> stores = List.of(new Store(), new Store());
    private final boolean isShared;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private long eventCount;
    long nowMillis = 1_000_000;
    long calls;
    long datagramBytes;
    long maxNetworkDelayMillis = 2;
    boolean isStoreDown;

    /** Time that an object of the first feed takes on the link of an entry. */
    long transferMillis;

    SharingSimulation(int count, boolean isShared, long seed) {
        this.random = new Random(seed);
        this.isShared = isShared;
        for (int i = 0; i < count; i++) {
            entries.add(new Entry(i));
        }
    }

    /** Restarts the counters of calls, datagrams and delays. */
    void resetCounts() {
        calls = 0;
        datagramBytes = 0;
        entries.forEach(entry -> {
            entry.maxAgeMillis = new long[2];
            entry.maxDelayMillis = 0;
        });
    }

    private Stream<Entry> undisturbed() {
        return entries.stream().filter(entry -> entry.isRunning() && !entry.isCut && entry.group == 0);
    }

    long maxAgeMillis(int feed) {
        return undisturbed().mapToLong(entry -> entry.maxAgeMillis[feed]).max().orElse(0);
    }

    long maxDelayMillis() {
        return undisturbed().mapToLong(entry -> entry.maxDelayMillis).max().orElse(0);
    }

    void run(long millis) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            nowMillis += STEP_MILLIS;
            while (!events.isEmpty() && events.peek().atMillis <= nowMillis) {
                events.poll().action.run();
            }
            entries.forEach(Entry::advance);
        }
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(nowMillis + millis, eventCount++, action));
    }

    /** Returns the greatest amount by which an entry thinks that what it knows is younger than it can be. */
    long underestimatedMillis() {
        long worst = 0;
        for (Entry entry : entries) {
            for (int feed = 0; feed < 2; feed++) {
                long unknownSince = entry.unknownSinceMillis(feed);
                if (entry.isRunning() && unknownSince >= 0) {
                    worst = Math.max(
                            worst,
                            nowMillis - unknownSince - entry.followers.get(feed).ageMillis());
                }
            }
        }
        return worst;
    }

    private record Event(long atMillis, long number, Runnable action) {}

    /** Objects of one kind with all their changes. */
    final class Store {
        final List<FeedEvent<String>> changes = new ArrayList<>();
        final List<Long> timesMillis = new ArrayList<>();
        private final Set<Watch> watches = new HashSet<>();
        private long era = 1;

        void put(String name) {
            changes.add(new FeedEvent<>(name, changes.size() + 1, Optional.of(name)).withSource(name));
            timesMillis.add(nowMillis);
            List.copyOf(watches).forEach(Watch::end);
        }

        /** Returns to a copy with the first changes. */
        void restore(int count) {
            changes.subList(count, changes.size()).clear();
            timesMillis.subList(count, timesMillis.size()).clear();
            era++;
            entries.forEach(entry -> entry.known.forEach(known -> known.seen = 0));
        }

        Map<String, Long> content() {
            Map<String, Long> content = new HashMap<>();
            changes.forEach(change -> content.put(change.name(), change.version()));
            return content;
        }
    }

    private final class Watch {
        private final Store store;
        private final long after;
        private final Entry entry;
        private final Runnable whenLarge;
        private final CompletableFuture<Either<StoreError, FeedBatch<String>>> result = new CompletableFuture<>();
        private boolean isArriving;

        private Watch(Store store, long after, Entry entry, Runnable whenLarge) {
            this.store = store;
            this.after = after;
            this.entry = entry;
            this.whenLarge = whenLarge;
        }

        /** Answers if the store can be reached; a watch that cannot be answered fails after its timeout. */
        private void end() {
            if (isStoreDown || entry.isCut) {
                return;
            }
            store.watches.remove(this);
            if (after > store.changes.size()) {
                answer(Either.left(StoreError.TOO_OLD));
                return;
            }
            List<FeedEvent<String>> batch =
                    after < 0 ? store.changes : store.changes.subList((int) after, store.changes.size());
            boolean isLarge = transferMillis > 0 && store == stores.get(CATALOG) && !batch.isEmpty();
            if (isLarge && after >= 0 && batch.size() > 1) {
                answer(Either.left(StoreError.TOO_LARGE));
                return;
            }
            if (isLarge) {
                isArriving = true;
                SharingSimulation.this.after(2, whenLarge);
            }
            answer(Either.right(new FeedBatch<>(batch, store.changes.size(), new StoreEra(store.era))));
        }

        private void answer(Either<StoreError, FeedBatch<String>> answer) {
            SharingSimulation.this.after(2 + (isArriving ? transferMillis : 0), () -> result.complete(answer));
        }
    }

    /** What an entry knows of one kind of object. */
    static final class Known implements FeedFollower.Listener<String> {
        final Map<String, Long> content = new HashMap<>();
        private int seen;
        int regressions;

        @Override
        public void listed(FeedBatch<String> batch) {
            content.clear();
            changed(batch);
        }

        @Override
        public void changed(FeedBatch<String> batch) {
            for (FeedEvent<String> event : batch.events()) {
                Long before = content.put(event.name(), event.version());
                regressions += before != null && before > event.version() ? 1 : 0;
            }
        }

        @Override
        public void storeRegained(ClockReading lastFailureStart) {}
    }

    /** One entry with its own clock, which stands still while the entry is frozen. */
    final class Entry {
        final InstanceId id;
        final FailureDomain domain;
        final List<FeedFollower<String>> followers = new ArrayList<>();
        final List<Known> known = new ArrayList<>();
        private final Map<InstanceId, Long> heardMillis = new HashMap<>();
        private final List<Runnable> inbox = new ArrayList<>();
        private EmbeddedChannel channel;
        private FeedSharing sharing;
        private long monotonicMillis;
        private long nextHeartbeatMillis;
        private long frozenUntilMillis;
        private long startedMillis;
        long[] maxAgeMillis = new long[2];
        long maxDelayMillis;
        boolean isCut;
        boolean isKilled;
        int group;

        private Entry(int index) {
            id = new InstanceId("entry-" + index);
            domain = new FailureDomain("domain-" + index % DOMAINS);
            start();
        }

        /** Starts the entry, with no knowledge from before. */
        void start() {
            channel = new EmbeddedChannel();
            channel.freezeTime();
            followers.forEach(FeedFollower::stop);
            followers.clear();
            known.clear();
            heardMillis.clear();
            inbox.clear();
            isKilled = false;
            nextHeartbeatMillis = random.nextInt(HEARTBEAT_MILLIS);
            monotonicMillis = 0;
            startedMillis = nowMillis;
            sharing = new FeedSharing(id, domain, this::send, random::nextLong, this::clock, name -> {}, LOG);
            StoreEras eras = new StoreEras();
            for (int feed = 0; feed < 2; feed++) {
                known.add(new Known());
                followers.add(new FeedFollower<>(
                        feed == CATALOG ? "desired state" : "targets",
                        new StoreFeed(stores.get(feed), this),
                        feed == CATALOG ? FeedPaces.catalog() : FeedPaces.targets(BOUNDS),
                        eras,
                        channel.eventLoop(),
                        this::clock,
                        LOG,
                        known.get(feed),
                        (name, kind) -> calls++));
                if (isShared) {
                    sharing.add(
                            followers.get(feed),
                            FeedPaces.shared(feed == CATALOG ? BOUNDS.configurationApply() : BOUNDS.drain()));
                }
            }
            followers.forEach(FeedFollower::start);
        }

        void freeze(long millis) {
            frozenUntilMillis = nowMillis + millis;
        }

        boolean isRunning() {
            return !isKilled && nowMillis >= frozenUntilMillis;
        }

        boolean isReader() {
            return isRunning() && sharing.isReader();
        }

        private ClockReading clock() {
            return new ClockReading(TimeUnit.MILLISECONDS.toNanos(monotonicMillis), nowMillis);
        }

        private void advance() {
            if (!isRunning()) {
                return;
            }
            monotonicMillis += STEP_MILLIS;
            List<Runnable> arrived = List.copyOf(inbox);
            inbox.clear();
            arrived.forEach(Runnable::run);
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            if (monotonicMillis >= nextHeartbeatMillis) {
                nextHeartbeatMillis += HEARTBEAT_MILLIS;
                heartbeat();
            }
            for (int feed = 0; feed < 2; feed++) {
                long age = followers.get(feed).ageMillis();
                maxAgeMillis[feed] = Math.max(maxAgeMillis[feed], age == Long.MAX_VALUE ? 0 : age);
                long unknownSince = unknownSinceMillis(feed);
                long delay = unknownSince < 0 ? 0 : nowMillis - Math.max(unknownSince, startedMillis);
                maxDelayMillis = Math.max(maxDelayMillis, delay);
            }
        }

        private void heartbeat() {
            for (Entry other : entries) {
                if (other != this && other.domain.equals(domain)) {
                    deliver(other, () -> other.heardMillis.put(id, nowMillis));
                }
            }
            heardMillis.values().removeIf(heard -> nowMillis - heard > 2_000);
            sharing.ask(Set.copyOf(heardMillis.keySet()));
        }

        private void send(InstanceId receiver, SharingMessage message) {
            byte[] bytes = PeerCodec.sharing(new PeerCodec.PeerIncarnation(id, 1), message);
            datagramBytes += bytes.length;
            SharingMessage read = PeerCodec.read(bytes).orElseThrow().sharing().orElseThrow();
            for (Entry other : entries) {
                if (other.id.equals(receiver)) {
                    deliver(other, () -> other.sharing.receive(id, read));
                }
            }
        }

        private void deliver(Entry other, Runnable action) {
            if (group == other.group && !other.isKilled) {
                after(1 + random.nextInt((int) maxNetworkDelayMillis), () -> other.inbox.add(action));
            }
        }

        /** Returns when the oldest change was made that the entry does not know; negative if it knows all. */
        private long unknownSinceMillis(int feed) {
            Known mine = known.get(feed);
            Store store = stores.get(feed);
            while (mine.seen < store.changes.size()
                    && mine.content.getOrDefault(store.changes.get(mine.seen).name(), 0L)
                            >= store.changes.get(mine.seen).version()) {
                mine.seen++;
            }
            return mine.seen < store.changes.size() ? store.timesMillis.get(mine.seen) : -1;
        }
    }

    /** Calls of one entry to the store. */
    private final class StoreFeed implements ObjectFeed<String> {
        private final Store store;
        private final Entry entry;

        private StoreFeed(Store store, Entry entry) {
            this.store = store;
            this.entry = entry;
        }

        @Override
        public Optional<FeedEvent<String>> decode(String name, long version, String source) {
            return Optional.of(new FeedEvent<>(name, version, Optional.of(name)).withSource(source));
        }

        @Override
        public CompletionStage<Either<StoreError, FeedBatch<String>>> list() {
            return call(-1, Duration.ZERO, () -> {});
        }

        @Override
        public CompletionStage<Either<StoreError, FeedBatch<String>>> watch(long afterVersion, Duration wait) {
            return watch(afterVersion, wait, () -> {});
        }

        @Override
        public CompletionStage<Either<StoreError, FeedBatch<String>>> watch(
                long afterVersion, Duration wait, Runnable whenLarge) {
            return call(afterVersion, wait, whenLarge);
        }

        private CompletionStage<Either<StoreError, FeedBatch<String>>> call(
                long afterVersion, Duration wait, Runnable whenLarge) {
            Watch watch = new Watch(store, afterVersion, entry, whenLarge);
            after(2, () -> {
                if (afterVersion >= store.changes.size() && !wait.isZero() && !entry.isCut && !isStoreDown) {
                    store.watches.add(watch);
                } else {
                    watch.end();
                }
            });
            after(2 + wait.toMillis(), () -> {
                if (store.watches.contains(watch)) {
                    watch.end();
                }
            });
            after(wait.plus(CALL_TIMEOUT).toMillis(), () -> {
                store.watches.remove(watch);
                if (!watch.isArriving) {
                    watch.result.complete(Either.left(StoreError.UNKNOWN));
                }
            });
            return watch.result;
        }
    }
}
