package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.gateway.EngineMemory;
import io.endiveshed.net.http.HttpClient;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class MemoryReservationsTest {
    /** Time for which the platform lets memory stay reserved while no request uses it. */
    private static final long MAX_UNUSED_MILLIS = 9_000;

    /** Longest time limit of a route on the known installations. */
    private static final long REQUEST_MILLIS = 15_000;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeEngineMemory memory = new FakeEngineMemory();
    private long nowMillis;
    private boolean hasGivenUp;

    MemoryReservationsTest() {
        channel.freezeTime();
    }

    @AfterEach
    void stopLoops() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Guards against memory that is kept for a request which its engine never starts, although the engine answers. The
     * fault held 206,474 tokens on two engines for 13,459 ms.
     */
    @Test
    void memoryThatNoRequestUsesIsGivenBack() {
        reserve();
        advance(REQUEST_MILLIS);

        assertThat(hasGivenUp).isTrue();
        assertThat(memory.longestHeldMillis).isAtMost(MAX_UNUSED_MILLIS);
    }

    /** Guards against giving up a long prompt that its engines are still reading. */
    @Test
    void memoryThatIsUsedStaysReserved() {
        memory.use = EngineMemory.Use.USED;
        reserve();
        advance(REQUEST_MILLIS);

        assertThat(hasGivenUp).isFalse();
        assertThat(memory.leaseEndMillis).hasSize(2);
    }

    /** Guards against giving up a request because an engine once did not report its reservations. */
    @Test
    void useIsAskedAgainIfTheEngineDidNotReport() {
        memory.use = EngineMemory.Use.UNKNOWN;
        reserve();
        advance(MAX_UNUSED_MILLIS);
        assertThat(hasGivenUp).isFalse();

        memory.use = EngineMemory.Use.UNUSED;
        advance(2_000);
        assertThat(hasGivenUp).isTrue();
    }

    /** Guards against asking the engines about a request that has already begun to answer. */
    @Test
    void useIsNotAskedOnceTheResponseHasStarted() {
        MemoryReservations reservations = reserve();
        advance(1);
        reservations.started();
        advance(REQUEST_MILLIS);
        assertThat(hasGivenUp).isFalse();
    }

    private MemoryReservations reserve() {
        MemoryReservations reservations = new MemoryReservations(
                memory,
                channel.eventLoop(),
                EventLog.to(new PrintStream(new ByteArrayOutputStream())),
                "request-1",
                engine("engine-1"),
                List.of(
                        new MemoryReservations.Reservation(engine("engine-2"), "r0", 206_474),
                        new MemoryReservations.Reservation(engine("engine-3"), "r1", 206_474)),
                Duration.ofMillis(MAX_UNUSED_MILLIS));
        reservations.reserve(isGranted -> assertThat(isGranted).isTrue(), () -> {
            hasGivenUp = true;
            reservations.release();
        });
        return reservations;
    }

    private TargetRuntime engine(String id) {
        Endpoint endpoint = new Endpoint("127.0.0.1", 1);
        return new TargetRuntime(
                new TargetInstance(
                        new InstanceId(id),
                        new ServiceName("model"),
                        endpoint,
                        new FailureDomain("north"),
                        8,
                        false,
                        1),
                new HttpClient(loops, endpoint.socketAddress()));
    }

    private void advance(long millis) {
        for (long i = 0; i < millis; i++) {
            nowMillis++;
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            memory.measure();
        }
    }

    /** Engines that grant and release all that is asked, and whose reservations end with their lease. */
    private final class FakeEngineMemory implements EngineMemory {
        private final Map<String, Long> heldSinceMillis = new HashMap<>();
        private final Map<String, Long> leaseEndMillis = new HashMap<>();
        private long longestHeldMillis;
        private Use use = Use.UNUSED;

        void measure() {
            leaseEndMillis.values().removeIf(end -> end <= nowMillis);
            heldSinceMillis.keySet().retainAll(leaseEndMillis.keySet());
            heldSinceMillis
                    .values()
                    .forEach(since -> longestHeldMillis = Math.max(longestHeldMillis, nowMillis - since));
        }

        @Override
        public CompletionStage<Boolean> reserve(
                HttpClient client, InstanceId engine, String id, long tokens, Duration lease) {
            heldSinceMillis.putIfAbsent(id, nowMillis);
            leaseEndMillis.put(id, nowMillis + lease.toMillis());
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletionStage<Boolean> release(HttpClient client, InstanceId engine, String id) {
            heldSinceMillis.remove(id);
            leaseEndMillis.remove(id);
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletionStage<Use> use(HttpClient client, InstanceId engine, String id) {
            return CompletableFuture.completedFuture(use);
        }

        @Override
        public CompletionStage<Boolean> isResponding(HttpClient client, InstanceId engine) {
            return CompletableFuture.completedFuture(true);
        }
    }
}
