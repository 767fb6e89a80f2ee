package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.availability.TargetStatus;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.crash.BlockedTrait;
import io.endiveshed.coordination.crash.RequestTrait;
import io.endiveshed.coordination.limit.ColdBounds;
import io.endiveshed.coordination.retry.AttemptBudget;
import io.endiveshed.coordination.service.AccessPolicy;
import io.endiveshed.coordination.service.ClientAccount;
import io.endiveshed.coordination.service.DomainDelays;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.RouteKind;
import io.endiveshed.coordination.service.RouteRule;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.coordination.service.ServiceRule;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.coordination.service.WeightedService;
import io.endiveshed.gateway.CallerRequest;
import io.endiveshed.gateway.ForwardingOptions;
import io.endiveshed.gateway.GatewaySettings;
import io.endiveshed.gateway.RequestDialect;
import io.endiveshed.gateway.TargetResponseHead;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.http.HttpClientOptions;
import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.ResponseOwner;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ForwardedRequestTest {
    private static final ServiceName SERVICE = new ServiceName("model");
    private static final long KEY_LIMIT_MILLIS = 4_500;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final RecordingSink sink = new RecordingSink();
    private final List<FakeAssignment> assignments = new CopyOnWriteArrayList<>();
    private long catalogAgeMillis;
    private long budgetNanos;
    private AttemptBudget budget = new AttemptBudget(0, 10, () -> budgetNanos);
    private ServerSocket silentTarget;
    private CrashMonitor crashes;
    private RequestTraits traits;

    @BeforeEach
    void openTarget() throws IOException {
        silentTarget = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        channel.freezeTime();
    }

    @AfterEach
    void closeTarget() throws IOException {
        silentTarget.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against a key that is used although the process was suspended while it waited for memory. */
    @Test
    void requestIsRefusedIfItsKeyCannotBeCheckedAfterItsMemoryWasGranted() {
        start();
        catalogAgeMillis = KEY_LIMIT_MILLIS + 1;
        assignments.get(0).whenPrepared.accept(true);

        assertThat(sink.status).isEqualTo(503);
        assertThat(assignments.get(0).isReleased).isTrue();
        assertThat(assignments).hasSize(1);
    }

    /** Guards against a request that waits for memory and is sent although targets have crashed under it meanwhile. */
    @Test
    void requestThatWasBlockedWhileItWaitedIsNotSent() {
        start();
        RequestTrait key = traits.key();
        crashes.blockedElsewhere(new BlockedTrait(key, 0, 60_000));
        assignments.get(0).whenPrepared.accept(true);
        assertThat(sink.status).isEqualTo(503);
        assertThat(assignments.get(0).isReleased).isTrue();
    }

    /** Guards against a request that is sent to a target whose domain was evacuated while memory was reserved. */
    @Test
    void requestWhoseTargetIsWithdrawnWhileItWaitsIsPlacedAgain() {
        budget = new AttemptBudget(0, 0, () -> budgetNanos);
        start();
        for (int i = 0; i < 6; i++) {
            FakeAssignment withdrawn = assignments.get(i);
            withdrawn.target.addGate(nowNanos -> TargetStatus.unavailable(TargetStatus.Reason.EVACUATED, 0));
            withdrawn.whenPrepared.accept(i % 2 == 0);
            assertThat(withdrawn.isReleased).isTrue();
            assertThat(assignments).hasSize(i + 2);
        }
        assertThat(sink.status).isEqualTo(0);
    }

    /** Guards against a request that is written to a target whose domain was evacuated while its connection was opened. */
    @Test
    void requestWhoseTargetIsWithdrawnBeforeItIsWrittenIsPlacedAgain() throws IOException {
        budget = new AttemptBudget(0, 0, () -> budgetNanos);
        start();
        Thread placing = Thread.currentThread();
        // The request is written on an event loop of its own.
        assignments
                .get(0)
                .target
                .addGate(nowNanos -> Thread.currentThread().equals(placing)
                        ? TargetStatus.AVAILABLE
                        : TargetStatus.unavailable(TargetStatus.Reason.EVACUATED, 0));
        assignments.get(0).whenPrepared.accept(true);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (assignments.size() < 2 && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertThat(assignments).hasSize(2);
        try (Socket connection = silentTarget.accept()) {
            assertThat(connection.getInputStream().available()).isEqualTo(0);
        }
        assertThat(sink.status).isEqualTo(0);
    }

    /** Guards against a stream that waits for its time limit at a silent target because the budget was used up once. */
    @Test
    void stalledRequestMovesAsSoonAsTheBudgetAllowsIt() {
        budget = new AttemptBudget(0, 1.5, () -> budgetNanos);
        assertThat(budget.tryAcquire()).isTrue();
        start();
        assignments.get(0).whenPrepared.accept(true);

        advance(1_000);
        FakeAssignment refused = assignments.get(assignments.size() - 1);
        assertThat(refused.whenPrepared).isNull();
        assertThat(refused.isReleased).isTrue();

        budgetNanos = Duration.ofMinutes(5).toNanos();
        advance(1_000);
        FakeAssignment moved = assignments.get(assignments.size() - 1);
        assertThat(moved.whenPrepared).isNotNull();
        assertThat(assignments.get(0).isReleased).isTrue();
    }

    private Targets targets(EventLog log) {
        return new Targets(
                loops, channel.eventLoop(), HttpClientOptions.defaults(), Duration.ofSeconds(3), log, gone -> {});
    }

    private void start() {
        GatewayMetrics metrics = new GatewayMetrics(new MetricRegistry());
        EventLog log = EventLog.to(new PrintStream(new ByteArrayOutputStream()));
        crashes = new CrashMonitor(
                new InstanceId("entry-1"),
                new ReachableTargets(),
                new FakeCrashRegistry(),
                channel.eventLoop(),
                metrics,
                log);
        GatewayContext context = new GatewayContext(
                channel.eventLoop(),
                new FakeDialect(),
                new AtomicValue<>(ServiceCatalog.NONE),
                () -> catalogAgeMillis,
                () -> 0,
                new AccessPolicy(Duration.ofMillis(KEY_LIMIT_MILLIS), Duration.ofSeconds(2)),
                (request, waitingSince, excluded, now) -> pick(),
                (request, waitingSince, excluded, now) -> pick(),
                endpoint -> Optional.empty(),
                new RequestLimits(new InstanceId("entry-1"), targets(log), System::nanoTime, metrics, log),
                new ColdTargets(
                        new InstanceId("entry-1"),
                        targets(log),
                        new AtomicValue<>(ServiceCatalog.NONE),
                        ColdBounds.DEFAULTS,
                        System::nanoTime,
                        metrics,
                        log),
                service -> budget,
                crashes,
                new ResponseMemory(GatewaySettings.ResponseLimits.defaults()),
                new EmbeddedResponses(new FakeDialect()),
                metrics,
                log);
        RouteRule route = RouteRule.builder("stream")
                .host("a.example")
                .pathPrefix("/stream/")
                .kind(RouteKind.STREAMING)
                .resumable(true)
                .timeoutMillis(60_000)
                .latencyObjectiveMillis(500)
                .maxPauseMillis(250)
                .maxAttempts(2)
                .weightedServices(List.of(new WeightedService(SERVICE, 1)))
                .build();
        CallerRequest caller = new CallerRequest(
                "request-1",
                "a.example",
                Optional.of("key-1"),
                OptionalLong.empty(),
                Optional.empty(),
                List.of(),
                OptionalLong.empty(),
                new HttpRequestData("POST", "/stream/x", new DefaultHttpHeaders(), new byte[0]));
        long nowNanos = System.nanoTime();
        AdmittedRequest request = new AdmittedRequest(
                caller,
                route,
                new ServiceRule(SERVICE, "/health", 100, Optional.empty(), DomainDelays.NONE),
                Optional.of(new ClientAccount(new ClientAccountId("ferry"), OptionalInt.empty())),
                nowNanos,
                nowNanos + Duration.ofMinutes(1).toNanos());
        traits = new RequestTraits(request);
        new ForwardedRequest(context, request, sink, () -> {}).start();
    }

    private Either<Failure, Assignment> pick() {
        assignments.add(new FakeAssignment());
        return Either.right(assignments.get(assignments.size() - 1));
    }

    private void advance(long millis) {
        for (long i = 0; i < millis; i++) {
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    /** Assignment to a target that accepts connections and never answers. */
    private final class FakeAssignment implements Assignment {
        private final TargetRuntime target;
        private Consumer<Boolean> whenPrepared;
        private boolean isReleased;

        FakeAssignment() {
            Endpoint endpoint = Endpoint.parse("127.0.0.1:" + silentTarget.getLocalPort());
            InstanceId id = new InstanceId("engine-" + (assignments.size() + 1));
            target = new TargetRuntime(
                    new TargetInstance(id, SERVICE, endpoint, new FailureDomain("north"), 8, false, 1),
                    new HttpClient(loops, endpoint.socketAddress()));
        }

        @Override
        public void prepare(Consumer<Boolean> whenDone, Runnable whenUnresponsive) {
            whenPrepared = whenDone;
        }

        @Override
        public TargetRuntime target() {
            return target;
        }

        @Override
        public List<ForwardingOptions.Helper> helpers() {
            return List.of();
        }

        @Override
        public double predictedMillis() {
            return 10;
        }

        @Override
        public void responseStarted() {}

        @Override
        public void release() {
            isReleased = true;
        }
    }

    private static final class FakeDialect implements RequestDialect {
        @Override
        public Either<Failure, CallerRequest> decodeRequest(HttpRequestData request) {
            throw new UnsupportedOperationException("requests of this test are decoded already");
        }

        @Override
        public List<Header> targetHeaders(CallerRequest request, ForwardingOptions options) {
            return List.of();
        }

        @Override
        public Optional<String> namedRequest(List<Header> responseHeaders) {
            return Optional.empty();
        }

        @Override
        public ResponseOwner responseOwner(String requestId, List<Header> responseHeaders) {
            return ResponseOwner.CURRENT_REQUEST;
        }

        @Override
        public TargetResponseHead decodeResponseHead(int status, List<Header> headers) {
            return new TargetResponseHead(
                    status,
                    false,
                    true,
                    false,
                    Optional.empty(),
                    OptionalDouble.empty(),
                    OptionalLong.empty(),
                    Optional.empty(),
                    Optional.empty());
        }

        @Override
        public List<Header> callerHeaders(List<Header> headers) {
            return headers;
        }

        @Override
        public Header retryAfterHeader(Duration wait) {
            return new Header("Retry-After", Long.toString(wait.toSeconds()));
        }
    }

    private static final class RecordingSink implements ResponseSink {
        private int status;

        @Override
        public void respond(int value, List<Header> headers, byte[] body) {
            status = value;
        }

        @Override
        public void start(int value, List<Header> headers) {
            status = value;
        }

        @Override
        public void write(byte[] bytes, Runnable whenWritten) {}

        @Override
        public void end() {}

        @Override
        public void abort() {}

        @Override
        public void onDisconnect(Runnable action) {}
    }
}
