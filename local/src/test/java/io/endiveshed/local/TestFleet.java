package io.endiveshed.local;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ModelName;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.id.Revision;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.base.time.ExecutorScheduler;
import io.endiveshed.base.time.OpeningHours;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.config.AccountConfig;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.config.ModelConfig;
import io.endiveshed.coordination.membership.TargetState;
import io.endiveshed.entry.EntryDaemon;
import io.endiveshed.entry.EntrySettings;
import io.endiveshed.entry.internal.BearerKeys;
import io.endiveshed.net.link.LinkSecret;
import io.endiveshed.sidecar.SidecarDaemon;
import io.endiveshed.sidecar.SidecarSettings;
import io.endiveshed.standins.EngineStandIn;
import io.endiveshed.standins.InMemoryObjectStore;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Entry daemons and engines with sidecars in one process; each entry daemon and sidecar can be restarted. */
final class TestFleet {
    static final int OUTPUT_TOKENS = 20;

    private static final String API_KEY = "fleet-key";
    private static final String MODEL = "m";
    private static final LinkSecret LINK_SECRET = new LinkSecret("fleet-link-secret");
    private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(30);

    final List<EntryDaemon> entries = new ArrayList<>();
    final List<SidecarDaemon> sidecars = new ArrayList<>();
    volatile Instant now = Instant.parse("2026-01-15T12:00:00Z");

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<Blackboard> blackboards = new ArrayList<>();
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final Duration stopGrace;
    private final OpeningHours openingHours;

    TestFleet(int entryCount, int sidecarCount, Duration timePerToken, Duration stopGrace, OpeningHours openingHours) {
        this.stopGrace = stopGrace;
        this.openingHours = openingHours;
        for (int i = 0; i < entryCount; i++) {
            blackboards.add(blackboard());
            entries.add(entry(i, 0, 0));
        }
        for (int i = 0; i < sidecarCount; i++) {
            engines.add(new EngineStandIn(loops, loopback(0), timePerToken));
            engines.get(i).start();
            sidecars.add(sidecar(i, engines.get(i).port()));
        }
        awaitLiveTargets(sidecarCount);
    }

    /** Restarts an entry daemon on its ports and blocks until all targets are live again. */
    void restartEntry(int index) {
        int callerPort = entries.get(index).callerPort();
        int linkPort = entries.get(index).linkPort();
        entries.get(index).stop();
        blackboards.set(index, blackboard());
        entries.set(index, entry(index, callerPort, linkPort));
        awaitLiveTargets(sidecars.size());
    }

    /** Restarts a sidecar, which gets a new incarnation, and blocks until all targets are live again. */
    void restartSidecar(int index) {
        sidecars.get(index).stop();
        sidecars.set(index, sidecar(index, engines.get(index).port()));
        awaitLiveTargets(sidecars.size());
    }

    /** Starts a sidecar of an engine that the test runs itself, and blocks until all targets are live. */
    void addSidecar(int targetPort) {
        sidecars.add(sidecar(sidecars.size(), targetPort));
        awaitLiveTargets(sidecars.size());
    }

    void stop() {
        entries.forEach(EntryDaemon::stop);
        sidecars.forEach(SidecarDaemon::stop);
        engines.forEach(EngineStandIn::stop);
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }

    HttpRequest completion(int callerPort, String prompt, boolean stream) {
        return completion(callerPort, prompt, OUTPUT_TOKENS, stream);
    }

    HttpRequest completion(int callerPort, String prompt, long maxTokens, boolean stream) {
        String body = "{\"model\":\"" + MODEL + "\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + maxTokens
                + ",\"stream\":" + stream + "}";
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort + "/v1/completions"))
                .header("Authorization", "Bearer " + API_KEY)
                .POST(BodyPublishers.ofString(body))
                .build();
    }

    int runningRequests() {
        return engines.stream().mapToInt(EngineStandIn::runningRequests).sum();
    }

    long liveTargets(int entry) {
        return blackboards.get(entry).fleet().read().targets().stream()
                .filter(target -> target.state() == TargetState.LIVE)
                .count();
    }

    static void await(BooleanSupplier condition) {
        long startNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - startNanos > CONDITION_TIMEOUT.toNanos()) {
                throw new IllegalStateException("the condition did not hold within " + CONDITION_TIMEOUT);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    private void awaitLiveTargets(int targets) {
        for (int i = 0; i < entries.size(); i++) {
            int entry = i;
            await(() -> liveTargets(entry) == targets);
        }
    }

    private EntryDaemon entry(int index, int callerPort, int linkPort) {
        EntryDaemon entry = new EntryDaemon(
                EntrySettings.builder()
                        .instance(new InstanceId("entry-" + index))
                        .region(new Region("r"))
                        .failureDomain(new FailureDomain("a"))
                        .callerAddress(loopback(callerPort))
                        .linkAddress(loopback(linkPort))
                        .linkSecret(LINK_SECRET)
                        .stopGrace(stopGrace)
                        .build(),
                blackboards.get(index));
        entry.start();
        return entry;
    }

    private SidecarDaemon sidecar(int index, int targetPort) {
        SidecarSettings settings = SidecarSettings.builder()
                .instance(new InstanceId("engine-" + index))
                .region(new Region("r"))
                .failureDomain(new FailureDomain("a"))
                .targetKind(TargetKind.ENGINE)
                .serves(List.of(MODEL))
                .targetAddress(loopback(targetPort))
                .entries(entries.stream()
                        .map(entry -> loopback(entry.linkPort()))
                        .toList())
                .linkSecret(LINK_SECRET)
                .kvCapacityTokens(1_000_000)
                .stopGrace(stopGrace)
                .openingHours(openingHours)
                .build();
        SidecarDaemon sidecar = new SidecarDaemon(
                settings,
                new InMemoryObjectStore(new ExecutorScheduler(loops)),
                () -> CompletableFuture.completedFuture(Either.right(List.of())),
                () -> now);
        sidecar.start();
        return sidecar;
    }

    private static Blackboard blackboard() {
        Blackboard blackboard = new Blackboard();
        blackboard
                .configuration()
                .update(none -> Configuration.builder(new Revision(1))
                        .account(new AccountConfig(new ClientAccountId("a"), List.of(BearerKeys.hash(API_KEY)), 1, 1))
                        .model(new ModelConfig(new ModelName(MODEL), Duration.ofSeconds(60)))
                        .build());
        return blackboard;
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
