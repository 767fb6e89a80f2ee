package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.coordination.crash.RequestTrait;
import io.endiveshed.coordination.crash.RequestTrait.Kind;
import io.endiveshed.coordination.crash.TargetCrash;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.http.Reachability;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class CrashDetectorTest {
    private static final long STEP_MILLIS = 100;
    private static final InstanceId ID = new InstanceId("app-1");
    private static final RequestTrait FIRST = new RequestTrait(Kind.REQUEST, "first");
    private static final RequestTrait SECOND = new RequestTrait(Kind.REQUEST, "second");

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ReachableTargets targets = new ReachableTargets();
    private final List<TargetCrash> crashes = new ArrayList<>();
    private final TargetRuntime target = target();
    private long nowNanos = 1;
    private CrashDetector detector = detector(targets);

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
    }

    @AfterEach
    void stopLoops() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Guards against sound requests that become suspect because a target breaks off answers and runs on. */
    @Test
    void brokenAnswerOfATargetThatAcceptsConnectionsIsNoCrash() {
        detector.attemptBroken(target, List.of(FIRST));
        advance(20_000);
        detector.targetGone(target);
        assertThat(crashes).isEmpty();
    }

    /** Guards against a crash that is not noticed, or not for all requests that ran on the target. */
    @Test
    void targetThatRefusesConnectionsHasCrashedUnderAllItsBrokenRequests() {
        targets.set(ID, Reachability.REFUSING);
        detector.attemptBroken(target, List.of(FIRST));
        detector.attemptBroken(target, List.of(SECOND));
        advance(0);
        assertThat(crashes).hasSize(1);
        assertThat(crashes.get(0).traits()).containsExactly(FIRST, SECOND);
        assertThat(crashes.get(0).startedMillis()).isEqualTo(7);
    }

    /** Guards against an entry that is cut off and takes all silent targets for crashed ones. */
    @Test
    void targetThatDoesNotReplyAndStaysListedHasNotCrashed() {
        targets.set(ID, Reachability.UNKNOWN);
        detector.attemptBroken(target, List.of(FIRST));
        advance(20_000);
        assertThat(targets.probes()).isEqualTo(4);
        detector.targetGone(target);
        assertThat(crashes).isEmpty();
    }

    /** Guards against a crash of a target with its machine, after which nothing refuses connections. */
    @Test
    void silentTargetThatDisappearsFromTheListHasCrashed() {
        targets.set(ID, Reachability.UNKNOWN);
        detector.attemptBroken(target, List.of(FIRST));
        advance(3_600);
        assertThat(crashes).isEmpty();
        detector.targetGone(target);
        assertThat(crashes).hasSize(1);
    }

    /** Guards against an entry that was suspended and takes the restarted process of a target for the crashed one. */
    @Test
    void connectionThatIsAcceptedMuchLaterDoesNotShowThatTheTargetHasNotCrashed() {
        CompletableFuture<Reachability> result = new CompletableFuture<>();
        detector = detector(probed -> result);
        detector.attemptBroken(target, List.of(FIRST));
        advance(4_000);
        result.complete(Reachability.ACCEPTING);
        advance(0);
        detector.targetGone(target);
        assertThat(crashes).hasSize(1);
    }

    private CrashDetector detector(TargetProbe probe) {
        return new CrashDetector(probe, channel.eventLoop(), () -> nowNanos, crashes::add);
    }

    private void advance(long millis) {
        channel.runPendingTasks();
        for (long step = 0; step < millis; step += STEP_MILLIS) {
            nowNanos += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            channel.runPendingTasks();
        }
    }

    private TargetRuntime target() {
        Endpoint endpoint = new Endpoint("127.0.0.1", 1);
        TargetInstance instance =
                new TargetInstance(ID, new ServiceName("app"), endpoint, new FailureDomain("north"), 8, false, 7);
        return new TargetRuntime(instance, new HttpClient(loops, endpoint.socketAddress()));
    }
}
