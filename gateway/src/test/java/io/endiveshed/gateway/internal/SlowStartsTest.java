package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.availability.TargetStatus;
import io.endiveshed.coordination.pace.ReportedLoad;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.net.http.HttpClientOptions;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class SlowStartsTest {
    private static final InstanceId ID = new InstanceId("engine-1");
    private static final long MILLI = 1_000_000;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final EventLog log = EventLog.to(new PrintStream(logged, true, StandardCharsets.UTF_8));
    private final MetricRegistry registry = new MetricRegistry();
    private final Targets targets = new Targets(
            loops, channel.eventLoop(), HttpClientOptions.defaults(), Duration.ofSeconds(3), log, gone -> {});

    @BeforeEach
    void followTargets() {
        SlowStarts slowStarts = new SlowStarts(service -> true, () -> 0, new GatewayMetrics(registry), log);
        targets.whenAdded(target -> slowStarts.added(target, !targets.isListed()));
    }

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against a restriction of targets that have run since before this entry started. */
    @Test
    void targetOfTheFirstListIsNotRestricted() {
        list(List.of(target(1)));
        open(20);
        assertThat(runtime().status(0)).isEqualTo(TargetStatus.AVAILABLE);
    }

    /** Guards against a restriction where the settings do not ask for slow starts. */
    @Test
    void targetIsNotRestrictedWithoutTheSetting() {
        TargetRecovery recovery = TargetRecovery.withoutSlowStart();
        recovery.recordNoResponse(0);
        recovery.recordFailure(0, 0);
        recovery.recordSpeed(100, 1, 450, MILLI);
        recovery.recordSpeed(100, 1, 450, MILLI);
        assertThat(recovery.status(MILLI)).isEqualTo(TargetStatus.AVAILABLE);
        assertThat(recovery.speedFactor(MILLI)).isEqualTo(1.0);
    }

    /** Guards against a target that has just started and gets as much as one in normal service. */
    @Test
    void targetThatStartsLaterMayHaveTwoRequestsOpen() {
        list(List.of());
        list(List.of(target(1)));
        open(1);
        assertThat(runtime().mayGetRequests(0)).isTrue();
        open(1);
        assertThat(runtime().status(0).reason()).isEqualTo(TargetStatus.Reason.RAMPING_UP);
    }

    /** Guards against a request that counts against the slow start twice, when it is placed and when it is written. */
    @Test
    void requestThatWasAssignedIsWritten() {
        list(List.of());
        list(List.of(target(1)));
        open(2);
        assertThat(runtime().tryAcquireRequest(0)).isTrue();
    }

    /** Guards against what was learned of one incarnation that restricts the next, or excuses it. */
    @Test
    void stateEndsWithTheIncarnation() {
        list(List.of(target(1)));
        TargetRuntime former = runtime();
        for (int answer = 0; answer < 8; answer++) {
            former.recovery().recordFailure(answer * MILLI, answer * MILLI);
        }
        assertThat(former.mayGetRequests(9 * MILLI)).isFalse();

        list(List.of(target(2)));
        assertThat(runtime()).isNotSameInstanceAs(former);
        assertThat(runtime().mayGetRequests(9 * MILLI)).isTrue();
        assertThat(runtime().failureHistory().failureRate()).isEqualTo(0.0);
        open(2);
        assertThat(runtime().mayGetRequests(9 * MILLI)).isFalse();
    }

    /** Guards against a target with a good health check that fails part of its requests and is never held back. */
    @Test
    void secondFailureInARowBeginsASlowStart() {
        list(List.of(target(1)));
        open(3);
        runtime().recovery().recordFailure(0, 0);
        assertThat(runtime().mayGetRequests(0)).isTrue();
        runtime().recovery().recordFailure(0, 0);
        assertThat(runtime().isOnlyRampingUp(0)).isTrue();
    }

    /** Guards against a target that is slow for good, and of which each entry sees too few answers to measure it. */
    @Test
    void oneAnswerFarLaterThanPredictedBeginsASlowStart() {
        list(List.of(target(1)));
        open(3);
        runtime().recovery().recordSpeed(100, 1, 140, MILLI);
        assertThat(runtime().mayGetRequests(MILLI)).isTrue();
        runtime().recovery().recordSpeed(100, 1, 450, MILLI);
        runtime().recovery().recordSpeed(100, 1, 450, MILLI);
        assertThat(runtime().isOnlyRampingUp(MILLI)).isTrue();
        assertThat(runtime().recovery().speedFactor(MILLI)).isLessThan(0.5);
    }

    /** Guards against a graver restriction that is passed over because the target also ramps up. */
    @Test
    void targetThatAlsoPausesIsNotALastChoice() {
        list(List.of());
        list(List.of(target(1)));
        open(2);
        runtime().pause(Duration.ofSeconds(1), 0);
        assertThat(runtime().isOnlyRampingUp(0)).isFalse();
    }

    /** Guards against changes of the limit that nobody can see or explain. */
    @Test
    void changesAreLoggedAndCountedWithTheirCause() throws InterruptedException {
        log.start();
        list(List.of());
        list(List.of(target(1)));
        runtime().recovery().recordLoad(new ReportedLoad(8, 3, 8), MILLI, 2 * MILLI);
        list(List.of());
        list(List.of(target(1)));
        log.stop();
        assertThat(logged.toString(StandardCharsets.UTF_8)).contains("\"cause\":\"started\",\"request_limit\":\"2.0\"");
        assertThat(logged.toString(StandardCharsets.UTF_8))
                .contains("\"cause\":\"reported queue\",\"request_limit\":\"1.0\"");
        assertThat(logged.toString(StandardCharsets.UTF_8)).contains("\"cause\":\"returned to the list\"");
        assertThat(registry.counter("gateway.slow_start_changes;cause=reported_queue")
                        .getCount())
                .isEqualTo(1);
    }

    private void list(List<TargetInstance> instances) {
        List<FeedEvent<TargetInstance>> events = instances.stream()
                .map(instance -> new FeedEvent<>(instance.id().value(), 1, Optional.of(instance)))
                .toList();
        targets.listed(new FeedBatch<>(events, 1));
    }

    private TargetRuntime runtime() {
        return targets.find(ID);
    }

    private void open(int requests) {
        for (int i = 0; i < requests; i++) {
            runtime().requestStarted();
        }
    }

    private static TargetInstance target(long startedMillis) {
        return new TargetInstance(
                ID,
                new ServiceName("model"),
                Endpoint.parse("127.0.0.1:9"),
                new FailureDomain("north"),
                8,
                false,
                startedMillis);
    }
}
