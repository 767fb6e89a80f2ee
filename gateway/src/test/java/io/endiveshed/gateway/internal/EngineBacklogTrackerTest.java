package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.engine.EngineBacklog;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.TargetInstance;
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
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class EngineBacklogTrackerTest {
    private static final int OTHER_ENTRY = 1;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Targets targets = new Targets(
            loops,
            loops.next(),
            new HttpClientOptions(Duration.ofMillis(350), Duration.ofSeconds(4), Duration.ofSeconds(1)),
            Duration.ofSeconds(3),
            EventLog.to(new PrintStream(new ByteArrayOutputStream())),
            gone -> {});
    private final EngineBacklogTracker tracker = new EngineBacklogTracker(targets);

    EngineBacklogTrackerTest() {
        TargetInstance engine = new TargetInstance(
                new InstanceId("engine-1"),
                new ServiceName("model"),
                new Endpoint("127.0.0.1", 1),
                new FailureDomain("north"),
                8,
                false,
                1);
        targets.listed(new FeedBatch<>(List.of(new FeedEvent<>("engine-1", 1, Optional.of(engine))), 1));
    }

    @AfterEach
    void stopLoops() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Guards against engines that seem full because an entry repeats its notices to a peer that was unreachable. */
    @Test
    void repeatedNoticeCountsOnce() {
        tracker.started(OTHER_ENTRY, OwnPlacementsTest.notice(7, 400, 1_000));
        tracker.started(OTHER_ENTRY, OwnPlacementsTest.notice(7, 100, 700));
        assertThat(backlog().decodingRequests()).isEqualTo(1);
        tracker.ended(OTHER_ENTRY, 7, 0);
        assertThat(backlog().decodingRequests()).isEqualTo(0);
    }

    /** Guards against confusing prompts to which two entries gave the same number. */
    @Test
    void equalNumbersOfTwoEntriesCountAsTwoPrompts() {
        tracker.started(OTHER_ENTRY, OwnPlacementsTest.notice(7, 400, 1_000));
        tracker.started(EngineBacklogTracker.SELF, OwnPlacementsTest.notice(7, 400, 1_000));
        assertThat(backlog().decodingRequests()).isEqualTo(2);
        tracker.ownerGone(OTHER_ENTRY);
        assertThat(backlog().decodingRequests()).isEqualTo(1);
    }

    private EngineBacklog backlog() {
        return targets.find(new InstanceId("engine-1")).backlog();
    }
}
