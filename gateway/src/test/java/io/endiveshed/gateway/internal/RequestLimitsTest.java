package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.limit.ColdBounds;
import io.endiveshed.coordination.limit.ColdNotice;
import io.endiveshed.coordination.limit.LimitNotice;
import io.endiveshed.coordination.service.ColdStart;
import io.endiveshed.coordination.service.DomainDelays;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.coordination.service.ServiceRule;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.gateway.TargetResponseHead;
import io.endiveshed.net.http.HttpClientOptions;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class RequestLimitsTest {
    private static final InstanceId SELF = new InstanceId("entry-1");
    private static final InstanceId TARGET = new InstanceId("target-1");

    private long nowNanos = System.nanoTime();
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLog log = EventLog.to(new PrintStream(new ByteArrayOutputStream()));
    private final Targets targets =
            new Targets(loops, loops.next(), HttpClientOptions.defaults(), Duration.ofSeconds(3), log, gone -> {});
    private final RequestLimits limits =
            new RequestLimits(SELF, targets, () -> nowNanos, new GatewayMetrics(new MetricRegistry()), log);

    @AfterEach
    void stopLoops() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Guards against a limit that is forgotten because the target was missing from the list for a while. */
    @Test
    void limitIsKeptWhileItsTargetIsMissingFromTheList() {
        list(5);
        limits.setEntries(Set.of(SELF));
        limits.answered(targets.find(TARGET), "request-1", head(200, OptionalDouble.of(1)), System.nanoTime());
        targets.changed(new FeedBatch<>(List.of(new FeedEvent<>(TARGET.value(), 2, Optional.empty())), 2));
        assertThat(targets.find(TARGET)).isNull();

        list(5);
        assertThat(targets.find(TARGET).mayGetRequests(System.nanoTime())).isFalse();
    }

    /** Guards against a limit that a target keeps although it was started again. */
    @Test
    void newIncarnationOfATargetHasNoLimit() {
        list(5);
        limits.answered(targets.find(TARGET), "request-1", head(200, OptionalDouble.of(1)), System.nanoTime());
        list(6);
        assertThat(targets.find(TARGET).mayGetRequests(System.nanoTime())).isTrue();
        limits.limitObservedElsewhere(new InstanceId("entry-2"), new LimitNotice(TARGET, 5, OptionalDouble.of(1), 0));
        assertThat(targets.find(TARGET).mayGetRequests(System.nanoTime())).isTrue();
    }

    /** Guards against limits that end with an answer that says nothing of the target's state. */
    @Test
    void onlyASuccessShowsThatThereIsNoLimitAnyMore() {
        list(5);
        TargetRuntime target = targets.find(TARGET);
        limits.answered(target, "request-2", head(503, OptionalDouble.of(1)), nowNanos);
        limits.answered(target, "request-3", head(500, OptionalDouble.empty()), System.nanoTime());
        assertThat(target.limit().requestsPerSecond().isPresent()).isTrue();
        limits.answered(target, "request-4", head(200, OptionalDouble.empty()), System.nanoTime());
        assertThat(target.limit().requestsPerSecond().isPresent()).isFalse();
    }

    /** Guards against an entry that keeps to a limit that has ended, as it sends nothing and so learns nothing. */
    @Test
    void endOfALimitIsLearntFromOtherEntries() {
        list(5);
        TargetRuntime target = targets.find(TARGET);
        limits.limitObservedElsewhere(
                new InstanceId("entry-2"), new LimitNotice(TARGET, 5, OptionalDouble.of(1), 2_000));
        assertThat(target.limit().requestsPerSecond().isPresent()).isTrue();
        limits.limitObservedElsewhere(
                new InstanceId("entry-3"), new LimitNotice(TARGET, 5, OptionalDouble.empty(), 4_000));
        assertThat(target.limit().requestsPerSecond().isPresent()).isTrue();
        limits.limitObservedElsewhere(new InstanceId("entry-2"), new LimitNotice(TARGET, 5, OptionalDouble.empty(), 0));
        assertThat(target.limit().requestsPerSecond().isPresent()).isFalse();
    }

    /** Guards against what other entries have told that is passed on and looks younger each time. */
    @Test
    void onlyOwnObservationsAreToldToOtherEntries() {
        list(5);
        limits.limitObservedElsewhere(
                new InstanceId("entry-2"), new LimitNotice(TARGET, 5, OptionalDouble.of(1), 2_000));
        assertThat(limits.notices()).isEmpty();
        limits.answered(targets.find(TARGET), "request-1", head(200, OptionalDouble.of(1)), System.nanoTime());
        assertThat(limits.notices()).hasSize(1);
        limits.answered(targets.find(TARGET), "request-2", head(200, OptionalDouble.empty()), System.nanoTime());
        assertThat(limits.notices().get(0).requestsPerSecond().isPresent()).isFalse();
    }

    /** Guards against limits that ended long ago and take the place of others in heartbeats. */
    @Test
    void endOfALimitIsToldForAWhileOnly() {
        list(5);
        limits.answered(targets.find(TARGET), "request-1", head(200, OptionalDouble.of(1)), nowNanos);
        for (int i = 0; i < 20; i++) {
            nowNanos += TimeUnit.SECONDS.toNanos(1);
            limits.answered(targets.find(TARGET), "request-2", head(200, OptionalDouble.empty()), nowNanos);
            assertThat(limits.notices()).hasSize(i <= 10 ? 1 : 0);
        }
    }

    /** Guards against an entry that has not read of a start, and against a cold time that lasts from entry to entry. */
    @Test
    void coldTargetIsLearntFromOtherEntriesAndNotPassedOn() {
        ServiceRule rule = new ServiceRule(
                new ServiceName("app"),
                "/",
                1,
                Optional.empty(),
                DomainDelays.NONE,
                new ColdStart(Duration.ofSeconds(60), 28));
        ColdTargets cold = new ColdTargets(
                SELF,
                targets,
                new AtomicValue<>(new ServiceCatalog(1, List.of(), List.of(rule), Map.of(), false)),
                ColdBounds.DEFAULTS,
                System::nanoTime,
                new GatewayMetrics(new MetricRegistry()),
                log);
        InstanceId other = new InstanceId("entry-2");
        list(5);
        cold.coldElsewhere(other, new ColdNotice(TARGET, 4, 9_000));
        assertThat(targets.find(TARGET).mayHelp(System.nanoTime())).isTrue();
        cold.coldElsewhere(other, new ColdNotice(TARGET, 6, 9_000));
        cold.unreachable(targets.find(TARGET));
        assertThat(targets.find(TARGET).mayHelp(System.nanoTime())).isFalse();
        assertThat(cold.toTell()).isEmpty();
        list(6);
        assertThat(cold.toTell()).hasSize(1);
        assertThat(cold.tryAcquireRequest(targets.find(TARGET))).isFalse();
        assertThat(targets.find(TARGET).tryAcquireCommand(System.nanoTime())).isFalse();
    }

    private void list(long startedMillis) {
        TargetInstance instance = new TargetInstance(
                TARGET,
                new ServiceName("app"),
                new Endpoint("127.0.0.1", 9),
                new FailureDomain("north"),
                8,
                false,
                startedMillis);
        targets.listed(new FeedBatch<>(List.of(new FeedEvent<>(TARGET.value(), 1, Optional.of(instance))), 1));
    }

    private static TargetResponseHead head(int status, OptionalDouble requestsPerSecond) {
        return new TargetResponseHead(
                status,
                false,
                true,
                false,
                Optional.empty(),
                requestsPerSecond,
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty());
    }
}
