package io.endiveshed.sidecar.internal;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.base.time.Scheduler;
import io.endiveshed.coordination.claim.ClaimEnvironment;
import io.endiveshed.coordination.claim.ClaimLog;
import io.endiveshed.coordination.claim.ClaimSettings;
import io.endiveshed.net.link.Link;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.ports.platform.StoreError;
import io.endiveshed.protocol.Message;
import io.vavr.control.Either;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

/** Checks with which failure a call ends whose claim is not decided. */
final class ClaimGateTest {
    private static final AttemptId ATTEMPT = new AttemptId(new RequestId(1, 2), 1);
    private static final ServiceName SERVICE = new ServiceName("depot-app");

    private final FakeScheduler time = new FakeScheduler();
    private final List<Message> sent = new ArrayList<>();
    private int enqueued;

    /** Guards against callers that are told that the store is unavailable because their own time is over. */
    @Test
    void claimUndecidedAtTheDeadlineEndsWithDeadlineExceeded() {
        admit(new CompletableFuture<>(), 1_500);
        time.advance(Duration.ofMillis(1_499));
        assertThat(sent).isEmpty();
        time.advance(Duration.ofMillis(1));
        assertFailure(ErrorKind.DEADLINE_EXCEEDED, 0);
    }

    /** Guards against a wait until a late deadline while the store does not answer. */
    @Test
    void claimUndecidedAfterTheLongestWaitEndsWithStoreUnavailable() {
        admit(new CompletableFuture<>(), 10_000);
        time.advance(Duration.ofMillis(4_999));
        assertThat(sent).isEmpty();
        time.advance(Duration.ofMillis(1));
        assertFailure(ErrorKind.STORE_UNAVAILABLE, 1_000);
    }

    /** Guards against an outage of the store that is reported as the end of the time allowed. */
    @Test
    void claimRefusedByTheStoreBeforeTheDeadlineEndsWithStoreUnavailable() {
        admit(CompletableFuture.completedFuture(Either.left(StoreError.UNAVAILABLE)), 1_500);
        time.advance(Duration.ofSeconds(1));
        assertThat(sent).hasSize(1);
        assertThat(((Message.AttemptFailed) sent.get(0)).kind()).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        assertThat(((Message.AttemptFailed) sent.get(0)).outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(enqueued).isEqualTo(0);
    }

    private void admit(CompletionStage<?> storeReply, long remainingMillis) {
        ObjectStore store = (ObjectStore) Proxy.newProxyInstance(
                ObjectStore.class.getClassLoader(),
                new Class<?>[] {ObjectStore.class},
                (proxy, method, arguments) -> storeReply);
        ClaimEnvironment environment = new ClaimEnvironment(store, time, () -> 0, new Random(7), new Incarnation(1));
        ClaimLog log = new ClaimLog(SERVICE, ClaimSettings.builder().build(), environment);
        ClaimGate gate = new ClaimGate(SERVICE, log, time, new MetricRegistry());
        Message.Dispatch dispatch = dispatch(remainingMillis);
        gate.admit(
                new TargetCall(new FakeLink(), dispatch, null, gate.guard(dispatch), time, finished -> {}),
                () -> enqueued++);
    }

    private void assertFailure(ErrorKind kind, long retryAfterMillis) {
        assertThat(sent).hasSize(1);
        Message.AttemptFailed failure = (Message.AttemptFailed) sent.get(0);
        assertThat(failure.kind()).isEqualTo(kind);
        assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(failure.retryAfterMillis()).isEqualTo(retryAfterMillis);
        assertThat(enqueued).isEqualTo(0);
    }

    private static Message.Dispatch dispatch(long remainingMillis) {
        return new Message.Dispatch(
                ATTEMPT,
                new Incarnation(1),
                remainingMillis,
                "a",
                0,
                TargetKind.SERVICE,
                "POST",
                "/bookings",
                List.of(),
                "key-1",
                new byte[0],
                0,
                0,
                0,
                1);
    }

    /** Scheduler in virtual time. */
    private static final class FakeScheduler implements Scheduler {
        private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::dueNanos));
        private long nowNanos;

        private record Timer(long dueNanos, Runnable action) {}

        @Override
        public void schedule(Duration delay, Runnable action) {
            timers.add(new Timer(nowNanos + delay.toNanos(), action));
        }

        @Override
        public long nanoTime() {
            return nowNanos;
        }

        void advance(Duration duration) {
            long endNanos = nowNanos + duration.toNanos();
            while (!timers.isEmpty() && timers.peek().dueNanos() <= endNanos) {
                Timer next = timers.remove();
                nowNanos = next.dueNanos();
                next.action().run();
            }
            nowNanos = endNanos;
        }
    }

    /** Records the messages. */
    private final class FakeLink implements Link {
        @Override
        public void send(Message message) {
            sent.add(message);
        }

        @Override
        public void send(Message message, Runnable whenWritten) {
            send(message);
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void markAuthenticated() {}

        @Override
        public void close() {}

        @Override
        public String remoteAddress() {
            return "fake";
        }
    }
}
