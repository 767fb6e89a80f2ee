package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.limit.LimitNotice;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.gateway.EntryRecord;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.http.Reachability;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs two entries that exchange datagrams on loopback. */
final class PeerExchangeTest {
    /** Timeout that ends a hanging test; no test asserts a shorter time. */
    private static final long TIMEOUT_SECONDS = 30;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stopLoops() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Guards against a restarted entry that does not know of running prompts and sends requests to full engines. */
    @Test
    void entryThatStartsLaterReceivesRunningPlacements() throws Exception {
        Entry first = new Entry("entry-1", 1);
        Entry second = new Entry("entry-2", 1);
        first.start();
        runOnLoop(() -> {
            first.exchange.started(OwnPlacementsTest.notice(1, 400, 1_000));
            first.exchange.started(OwnPlacementsTest.notice(2, 400, 1_000));
            first.exchange.ended(1, 0);
        });
        first.receiveListOf(second);
        second.start();
        second.receiveListOf(first);
        runOnLoop(() -> {
            second.exchange.heartbeat(0, List.of(), List.of());
        });
        await(() -> !second.receivedNumbers.isEmpty());
        assertThat(second.receivedNumbers).containsExactly(2L);
        first.exchange.stop();
        second.exchange.stop();
    }

    /** Guards against an entry that has had no answer of a target yet and sends more than the target takes. */
    @Test
    void limitsOfTargetsAreToldToOtherEntries() throws Exception {
        Entry first = new Entry("entry-1", 1);
        Entry second = new Entry("entry-2", 1);
        first.start();
        second.start();
        first.receiveListOf(second);
        LimitNotice limit = new LimitNotice(new InstanceId("engine-1"), 7, OptionalDouble.of(2), 100);
        runOnLoop(() -> {
            first.exchange.heartbeat(0, List.of(), List.of(limit));
        });
        await(() -> !second.receivedLimits.isEmpty());
        assertThat(second.receivedLimits).containsExactly(limit);
        assertThat(onLoop(second.exchange::heardEntries)).containsExactly(new InstanceId("entry-1"));
        assertThat(onLoop(second.exchange::listedEntries).isPresent()).isFalse();
        first.exchange.stop();
        second.exchange.stop();
    }

    /** Guards against an entry that relies on one of another domain, or of an earlier build, which answers nothing. */
    @Test
    void onlyEntriesOfTheSameDomainAreAskedToReadTheStore() throws Exception {
        Entry first = new Entry("entry-1", 1);
        Entry second = new Entry("entry-2", 1);
        first.start();
        second.start();
        second.receiveListOf(first);
        runOnLoop(() -> second.exchange.heartbeat(0, List.of(), List.of()));
        await(() -> !first.exchange.heardEntries().isEmpty());
        first.receiveListOf(second);
        assertThat(onLoop(() -> first.exchange.heardIn(new FailureDomain("north"))))
                .containsExactly(second.record.instance());
        assertThat(onLoop(() -> first.exchange.heardIn(new FailureDomain("south"))))
                .isEmpty();
        EntryRecord earlier =
                new EntryRecord(second.record.instance(), second.record.peerAddress(), 1, Optional.empty());
        runOnLoop(() -> first.exchange.changed(
                new FeedBatch<>(List.of(new FeedEvent<>("entry-2", 2, Optional.of(earlier))), 2)));
        assertThat(onLoop(() -> first.exchange.heardIn(new FailureDomain("north"))))
                .isEmpty();
        first.exchange.stop();
        second.exchange.stop();
    }

    /** Guards against entries that stop telling each other of prompts because the store has lost their records. */
    @Test
    void entriesThatAreHeardOfAreKeptWhileAnOlderCopyOfTheStoreDoesNotListThem() throws Exception {
        Entry first = new Entry("entry-1", 1);
        Entry second = new Entry("entry-2", 1);
        first.start();
        second.start();
        second.receiveListOf(first);
        runOnLoop(() -> {
            second.exchange.heartbeat(0, List.of(), List.of());
        });
        await(() -> !first.exchange.heardEntries().isEmpty());
        first.receiveListOf(second);
        runOnLoop(() -> {
            first.exchange.storeRestored();
            first.exchange.listed(new FeedBatch<>(List.of(), 1));
        });
        assertThat(onLoop(first.exchange::listedEntries).orElseThrow()).containsExactly(new InstanceId("entry-2"));
        assertThat(onLoop(() -> first.unlistedCount)).isEqualTo(1);

        runOnLoop(() -> {
            first.exchange.listed(new FeedBatch<>(List.of(), 2));
        });
        assertThat(onLoop(first.exchange::listedEntries).orElseThrow()).isEmpty();
        first.exchange.stop();
        second.exchange.stop();
    }

    /** Guards against a peer without a desired state that counts as one with a confirmed state. */
    @Test
    void agesOfPeersOnlyGrow() throws Exception {
        Entry first = new Entry("entry-1", 1);
        Entry second = new Entry("entry-2", 1);
        first.start();
        second.start();
        second.receiveListOf(first);
        runOnLoop(() -> {
            second.exchange.heartbeat(Long.MAX_VALUE, List.of(), List.of());
        });
        await(() -> !first.exchange.stateAgesMillis().isEmpty());
        assertThat(onLoop(first.exchange::stateAgesMillis)).containsExactly(Long.MAX_VALUE);
        first.exchange.stop();
        second.exchange.stop();
    }

    /** Guards against an entry that has seen no crash itself and sends a request under which engines of others crashed. */
    @Test
    void crashesSeenByAnotherEntryBlockRequestsHere() throws Exception {
        Entry first = new Entry("entry-1", 1);
        Entry second = new Entry("entry-2", 1);
        first.start();
        second.start();
        first.receiveListOf(second);
        second.receiveListOf(first);
        RequestTraits traits = RequestTraitsTest.traits("request-1", "ferry", "a.example", "/x/1", "body");
        for (int i = 1; i <= 3; i++) {
            onLoop(() -> first.breakAttemptOn(traits));
        }
        await(() -> second.crashes.refusal(traits).isPresent());

        runOnLoop(() -> {
            second.crashes.answered(traits);
        });
        await(() -> first.crashes.refusal(traits).isEmpty());
        first.exchange.stop();
        second.exchange.stop();
    }

    /** Guards against crashes that are not stored although an entry does not receive the datagrams of all others. */
    @Test
    void entriesAreFullyConnectedOnlyIfEachReceivesTheHeartbeatsOfAllOthers() throws Exception {
        Entry first = new Entry("entry-1", 1);
        Entry second = new Entry("entry-2", 1);
        Entry silent = new Entry("entry-3", 1);
        first.start();
        second.start();
        assertThat(onLoop(first.exchange::isFullyConnected)).isFalse();
        first.receiveListOf(second);
        assertThat(onLoop(first.exchange::isFullyConnected)).isFalse();
        second.receiveListOf(first);
        runOnLoop(() -> first.exchange.heartbeat(0, List.of(), List.of()));
        await(() -> !second.exchange.heardEntries().isEmpty());
        assertThat(onLoop(second.exchange::isFullyConnected)).isFalse();
        runOnLoop(() -> second.exchange.heartbeat(0, List.of(), List.of()));
        await(first.exchange::isFullyConnected);
        runOnLoop(() -> first.exchange.heartbeat(0, List.of(), List.of()));
        await(second.exchange::isFullyConnected);

        second.receiveListOf(first, silent);
        runOnLoop(() -> second.exchange.heartbeat(0, List.of(), List.of()));
        await(() -> !first.exchange.isFullyConnected());
        first.exchange.stop();
        second.exchange.stop();
    }

    /** Guards against an entry that was restarted and does not know what the others refuse. */
    @Test
    void blocksAreRepeatedToEntriesThatStartLater() throws Exception {
        Entry first = new Entry("entry-1", 1);
        Entry second = new Entry("entry-2", 1);
        first.start();
        RequestTraits traits = RequestTraitsTest.traits("request-1", "ferry", "a.example", "/x/1", "body");
        for (int i = 1; i <= 3; i++) {
            onLoop(() -> first.breakAttemptOn(traits));
        }
        await(() -> !first.crashes.blocked().isEmpty());

        second.start();
        first.receiveListOf(second);
        runOnLoop(() -> {
            first.exchange.heartbeat(0, first.crashes.blocked(), List.of());
        });
        await(() -> second.crashes.refusal(traits).isPresent());
        first.exchange.stop();
        second.exchange.stop();
    }

    private void await(Supplier<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!onLoop(condition)) {
            assertThat(System.nanoTime()).isLessThan(end);
            Thread.onSpinWait();
        }
    }

    private void runOnLoop(Runnable action) throws Exception {
        loops.submit(action).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Supplier<T> action) throws Exception {
        return loops.submit(action::get).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private final class Entry implements PeerExchange.PlacementListener {
        private final EntryRecord record;
        private final PeerExchange exchange;
        private final EventLog log = EventLog.to(new PrintStream(new ByteArrayOutputStream()));
        private final ReachableTargets engines = new ReachableTargets();
        private final CrashMonitor crashes;
        private int lastEngine;
        private final List<Long> receivedNumbers = new ArrayList<>();
        private final List<LimitNotice> receivedLimits = new CopyOnWriteArrayList<>();
        private int unlistedCount;

        Entry(String name, long startedMillis) throws SocketException {
            InetSocketAddress address = freeAddress();
            record = new EntryRecord(
                    new InstanceId(name),
                    new Endpoint(address.getHostString(), address.getPort()),
                    startedMillis,
                    Optional.of(new FailureDomain("north")));
            crashes = new CrashMonitor(
                    record.instance(),
                    engines,
                    new FakeCrashRegistry(),
                    loops.next(),
                    new GatewayMetrics(new MetricRegistry()),
                    log);
            exchange = new PeerExchange(
                    new PeerCodec.PeerIncarnation(record.instance(), startedMillis),
                    address,
                    loops,
                    log,
                    this,
                    crashes,
                    (entry, notice) -> receivedLimits.add(notice),
                    () -> unlistedCount++);
            crashes.shareWith(exchange);
        }

        /** Breaks off the answer to a request by a crash of its engine, a new one each time. */
        boolean breakAttemptOn(RequestTraits traits) {
            lastEngine++;
            InstanceId id = new InstanceId("engine-" + lastEngine);
            engines.set(id, Reachability.REFUSING);
            Endpoint endpoint = new Endpoint("127.0.0.1", 1);
            TargetInstance engine =
                    new TargetInstance(id, new ServiceName("model"), endpoint, new FailureDomain("north"), 8, false, 1);
            crashes.attemptBroken(new TargetRuntime(engine, new HttpClient(loops, endpoint.socketAddress())), traits);
            return true;
        }

        void start() {
            exchange.start();
        }

        void receiveListOf(Entry... others) throws Exception {
            List<FeedEvent<EntryRecord>> events = new ArrayList<>();
            for (Entry other : others) {
                events.add(new FeedEvent<>(other.record.instance().value(), 1, Optional.of(other.record)));
            }
            runOnLoop(() -> exchange.listed(new FeedBatch<>(events, 1)));
        }

        @Override
        public void started(int owner, PlacementNotice notice) {
            receivedNumbers.add(notice.number());
        }

        @Override
        public void ended(int owner, long number, double remainingPrefillMillis) {}

        @Override
        public void ownerGone(int owner) {}
    }

    private static InetSocketAddress freeAddress() throws SocketException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }
}
