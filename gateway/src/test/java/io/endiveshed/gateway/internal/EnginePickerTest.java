package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.engine.EngineCostModel;
import io.endiveshed.coordination.evacuation.EvacuatedDomains;
import io.endiveshed.coordination.evacuation.EvacuationGate;
import io.endiveshed.coordination.service.DomainDelays;
import io.endiveshed.coordination.service.DomainRegions;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.RouteKind;
import io.endiveshed.coordination.service.RouteRule;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.coordination.service.ServiceRule;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.coordination.service.WeightedService;
import io.endiveshed.gateway.CallerRequest;
import io.endiveshed.gateway.EngineMemory;
import io.endiveshed.gateway.EntryRecord;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.http.HttpClientOptions;
import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class EnginePickerTest {
    private static final ServiceName MODEL = new ServiceName("model");
    private static final FailureDomain NORTH = new FailureDomain("north");
    private static final FailureDomain SOUTH = new FailureDomain("south");

    /** More tokens than one engine's memory holds, so that the other one must reserve memory. */
    private static final long PROMPT_TOKENS = 450_000;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final EventLog log = EventLog.to(new PrintStream(new ByteArrayOutputStream()));
    private final EvacuatedDomains evacuated = new EvacuatedDomains();

    @AfterEach
    void stopLoops() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against a prompt that is sent although the domain of its helper was evacuated while it waited. */
    @Test
    void placementWhoseHelperIsEvacuatedIsWithdrawn() {
        evacuated.replaceAll(Set.of(), 0);
        long nowNanos = System.nanoTime();
        Assignment picked =
                picker().pick(request(nowNanos), nowNanos, Set.of(), nowNanos).get();
        assertThat(picked.helpers()).isNotEmpty();
        assertThat(picked.isWithdrawn(nowNanos)).isFalse();

        FailureDomain own = picked.target().instance().domain();
        evacuated.put(own.equals(NORTH) ? SOUTH : NORTH);
        assertThat(picked.target().mayGetRequests(nowNanos)).isTrue();
        assertThat(picked.isWithdrawn(nowNanos)).isTrue();
        assertThat(picked.tryAcquire(nowNanos, target -> target.tryAcquireRequest(nowNanos)))
                .isFalse();
    }

    private EnginePicker picker() {
        GatewayMetrics metrics = new GatewayMetrics(new MetricRegistry());
        Targets targets =
                new Targets(loops, loop, HttpClientOptions.defaults(), Duration.ofSeconds(3), log, gone -> {});
        targets.whenAdded(target -> target.addGate(
                new EvacuationGate(evacuated, () -> target.instance().domain())));
        targets.listed(new FeedBatch<>(List.of(engine("engine-1", NORTH), engine("engine-2", SOUTH)), 1));
        EngineBacklogTracker backlogs = new EngineBacklogTracker(targets);
        EntryRecord self =
                new EntryRecord(new InstanceId("entry-1"), Endpoint.parse("127.0.0.1:1"), 1, Optional.of(NORTH));
        CrashMonitor crashes =
                new CrashMonitor(self.instance(), new ReachableTargets(), new FakeCrashRegistry(), loop, metrics, log);
        PeerExchange peers = new PeerExchange(
                new PeerCodec.PeerIncarnation(self.instance(), self.startedMillis()),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                loops,
                log,
                backlogs,
                crashes,
                (entry, notice) -> {},
                () -> {});
        peers.start();
        return new EnginePicker(
                self,
                NORTH,
                new HomeTargets(targets, new AtomicValue<>(ServiceCatalog.NONE), new DomainRegions(Map.of())),
                backlogs,
                peers,
                new SilentMemory(),
                Duration.ofSeconds(9),
                loop,
                log);
    }

    private static FeedEvent<TargetInstance> engine(String id, FailureDomain domain) {
        Endpoint endpoint = Endpoint.parse("127.0.0.1:1");
        TargetInstance engine = new TargetInstance(new InstanceId(id), MODEL, endpoint, domain, 8, false, 1);
        return new FeedEvent<>(id, 1, Optional.of(engine));
    }

    private static AdmittedRequest request(long nowNanos) {
        RouteRule route = RouteRule.builder("stream")
                .host("a.example")
                .pathPrefix("/stream/")
                .kind(RouteKind.STREAMING)
                .timeoutMillis(60_000)
                .latencyObjectiveMillis(10_000)
                .maxPauseMillis(1_000)
                .weightedServices(List.of(new WeightedService(MODEL, 1)))
                .build();
        CallerRequest caller = new CallerRequest(
                "request-1",
                "a.example",
                Optional.empty(),
                OptionalLong.empty(),
                Optional.of(new CallerRequest.PromptSize(PROMPT_TOKENS, 100, 100)),
                List.of(),
                OptionalLong.empty(),
                new HttpRequestData("POST", "/stream/x", new DefaultHttpHeaders(), new byte[0]));
        EngineCostModel costs = new EngineCostModel(8, 405_000, 1.31, 0.001, 0.002, 1_540, 0.002, 2_048, 34, 0.1);
        return new AdmittedRequest(
                caller,
                route,
                new ServiceRule(MODEL, "/", 100, Optional.of(costs), DomainDelays.NONE),
                Optional.empty(),
                nowNanos,
                nowNanos + Duration.ofMinutes(1).toNanos());
    }

    /** Engines that answer no command. */
    private static final class SilentMemory implements EngineMemory {
        @Override
        public CompletionStage<Boolean> reserve(
                HttpClient client, InstanceId engine, String id, long tokens, Duration lease) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<Boolean> release(HttpClient client, InstanceId engine, String id) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<Use> use(HttpClient client, InstanceId engine, String id) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<Boolean> isResponding(HttpClient client, InstanceId engine) {
            return new CompletableFuture<>();
        }
    }
}
