package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.http.Reachability;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Entries that exchange no datagrams and share a store. */
final class CrashMonitorTest {
    private static final RequestTraits CRASHING = traits("/x/1");
    private static final RequestTraits SOUND = traits("/x/2");

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeCrashRegistry registry = new FakeCrashRegistry();
    private final ReachableTargets targets = new ReachableTargets();
    private int lastTarget;

    @AfterEach
    void stopLoops() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Guards against a request that crashes targets of an entry that receives no datagrams of the others. */
    @Test
    void entryRefusesARequestUnderWhichTargetsOfOthersCrashed() {
        CrashMonitor first = monitor("entry-1");
        CrashMonitor second = monitor("entry-2");
        breakAttempt(first, CRASHING);
        breakAttempt(first, CRASHING);
        breakAttempt(second, CRASHING);
        first.store(false, 1);
        second.store(false, 1);
        runTasks();

        CrashMonitor third = monitor("entry-3");
        third.changed(registry.all());
        awaitDecision();
        assertThat(third.refusal(CRASHING).isPresent()).isTrue();
        assertThat(third.refusal(SOUND).isPresent()).isFalse();
    }

    /** Guards against entries that have all been started again and know nothing of what they had seen. */
    @Test
    void restartedEntryKnowsWhatItHadStored() {
        CrashMonitor before = monitor("entry-1");
        for (int i = 0; i < 3; i++) {
            breakAttempt(before, CRASHING);
        }
        before.store(true, 1);
        runTasks();

        CrashMonitor after = monitor("entry-1");
        awaitDecision();
        assertThat(after.refusal(CRASHING).isPresent()).isTrue();
        breakAttempt(after, SOUND);
        after.store(false, 1);
        runTasks();
        CrashMonitor later = monitor("entry-1");
        awaitDecision();
        assertThat(later.refusal(CRASHING).isPresent()).isTrue();
    }

    /** Guards against knowledge that is lost with the store's, or was never written because a write failed. */
    @Test
    void recordIsWrittenAgainAfterAFailureAndAfterTheStoreWasRestored() {
        CrashMonitor monitor = monitor("entry-1");
        breakAttempt(monitor, CRASHING);
        registry.setAvailable(false);
        monitor.store(false, 1);
        runTasks();
        registry.setAvailable(true);
        monitor.store(false, 1);
        runTasks();
        assertThat(registry.writes()).isEqualTo(1);
        monitor.store(false, 1);
        runTasks();
        assertThat(registry.writes()).isEqualTo(1);
        monitor.storeRestored();
        monitor.store(false, 1);
        runTasks();
        assertThat(registry.writes()).isEqualTo(2);
    }

    /** Guards against calls to the store for crashes that say nothing of a request. */
    @Test
    void singleCrashIsNotStoredIfAllEntriesReceiveDatagrams() {
        CrashMonitor monitor = monitor("entry-1");
        breakAttempt(monitor, CRASHING);
        monitor.store(true, 1);
        runTasks();
        assertThat(registry.writes()).isEqualTo(0);
    }

    /** Guards against a sound request that stays refused at an entry that has not seen its answers. */
    @Test
    void answerToAnotherEntryEndsTheSuspicion() {
        CrashMonitor first = monitor("entry-1");
        for (int i = 0; i < 3; i++) {
            breakAttempt(first, SOUND);
        }
        first.store(false, 1);
        runTasks();
        CrashMonitor second = monitor("entry-2");
        awaitDecision();
        assertThat(second.refusal(SOUND).isPresent()).isTrue();

        first.answered(SOUND);
        first.store(false, 1);
        runTasks();
        second.changed(registry.all());
        assertThat(second.refusal(SOUND).isPresent()).isFalse();
    }

    private CrashMonitor monitor(String name) {
        CrashMonitor monitor = new CrashMonitor(
                new InstanceId(name),
                targets,
                registry,
                channel.eventLoop(),
                new GatewayMetrics(new MetricRegistry()),
                EventLog.to(new PrintStream(new ByteArrayOutputStream())));
        monitor.listed(registry.all());
        return monitor;
    }

    private void breakAttempt(CrashMonitor monitor, RequestTraits traits) {
        lastTarget++;
        InstanceId id = new InstanceId("target-" + lastTarget);
        targets.set(id, Reachability.REFUSING);
        Endpoint endpoint = new Endpoint("127.0.0.1", 1);
        TargetInstance instance =
                new TargetInstance(id, new ServiceName("app"), endpoint, new FailureDomain("north"), 8, false, 1);
        monitor.attemptBroken(new TargetRuntime(instance, new HttpClient(loops, endpoint.socketAddress())), traits);
        runTasks();
    }

    private void runTasks() {
        channel.runPendingTasks();
    }

    /** Waits until the reports of a crash count. */
    private static void awaitDecision() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
        while (System.nanoTime() - end < 0) {
            Thread.onSpinWait();
        }
    }

    private static RequestTraits traits(String path) {
        return RequestTraitsTest.traits("request-1", "ferry", "a.example", path, "body");
    }
}
