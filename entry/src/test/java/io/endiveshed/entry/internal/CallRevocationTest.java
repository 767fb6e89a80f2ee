package io.endiveshed.entry.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.coordination.routing.RoutingRequest;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Header;
import io.endiveshed.protocol.Message;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks what callers get for a revoked call. A sidecar answers a revocation with its result and, on the link of the
 * dispatch, with the failure of the attempt; either may arrive first.
 */
final class CallRevocationTest {
    private static final TargetId TARGET = new TargetId(new InstanceId("depot-1"), new Incarnation(1));
    private static final RequestId REQUEST = new RequestId(1, 2);
    private static final AttemptId ATTEMPT = new AttemptId(REQUEST, 1);

    private final FakeListener listener = new FakeListener();
    private final FakeCaller caller = new FakeCaller();
    private final Link link = new FakeLink();
    private final Link laterLink = new FakeLink();
    private final Call call = new Call(REQUEST, spec(), caller, listener, () -> 0);

    /** Guards against a caller that is told that it closed the connection. */
    @Test
    void failureOfARevokedAttemptBeforeTheResultIsReportedAsDeadlineExceeded() {
        start();
        call.revokeIfUnanswered();
        call.handleMessage(link, ATTEMPT, revoked());
        call.revocationFinished(ATTEMPT, Outcome.NOT_RUN, listener.revocations.get(0));
        assertDeadlineExceeded();
    }

    /** Guards against a second answer when the failure follows the result. */
    @Test
    void failureOfARevokedAttemptAfterTheResultIsIgnored() {
        start();
        call.revokeIfUnanswered();
        call.revocationFinished(ATTEMPT, Outcome.NOT_RUN, listener.revocations.get(0));
        call.handleMessage(link, ATTEMPT, revoked());
        assertDeadlineExceeded();
    }

    /** Guards against a call that is not retried although its attempt was revoked because the link was lost. */
    @Test
    void failureOfAnAttemptRevokedAfterALinkLossIsRetriedLikeTheResult() {
        start();
        call.linkClosed(link);
        call.resumeTimedOut(ATTEMPT, 1);
        call.linkOpened(TARGET, laterLink);
        call.handleMessage(laterLink, ATTEMPT, revoked());
        assertThat(caller.statuses).isEmpty();
        assertThat(listener.retried).hasSize(1);
        assertThat(listener.retried.get(0).kind()).isEqualTo(ErrorKind.LINK_LOST);
        assertThat(listener.retried.get(0).outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    /** Guards against a claim of {@code not_run} that the sidecar does not make. */
    @Test
    void outcomeIsThatOfTheSidecar() {
        start();
        call.revokeIfUnanswered();
        call.handleMessage(
                link, ATTEMPT, new Message.AttemptFailed(ATTEMPT, ErrorKind.CANCELLED, "m", Outcome.UNKNOWN, 0));
        assertThat(caller.statuses).containsExactly(504);
        assertThat(caller.body).contains("\"outcome\":\"unknown\"");
    }

    /** Guards against other failures that are reported as the end of the time allowed. */
    @Test
    void otherFailureAfterARevocationIsReportedAsItIs() {
        start();
        call.revokeIfUnanswered();
        call.handleMessage(
                link, ATTEMPT, new Message.AttemptFailed(ATTEMPT, ErrorKind.CALL_IN_PROGRESS, "m", Outcome.UNKNOWN, 0));
        assertThat(caller.statuses).containsExactly(409);
        assertThat(caller.body).contains("call_in_progress");
    }

    private void start() {
        boolean started = call.startAttempt(TARGET, link, CallRevocationTest::dispatch);
        assertThat(started).isTrue();
    }

    private void assertDeadlineExceeded() {
        assertThat(caller.statuses).containsExactly(504);
        assertThat(caller.body).contains("deadline_exceeded");
        assertThat(caller.body).contains("\"outcome\":\"not_run\"");
        assertThat(listener.retried).isEmpty();
    }

    private static Message.AttemptFailed revoked() {
        return new Message.AttemptFailed(
                ATTEMPT, ErrorKind.CANCELLED, "the attempt was revoked before it could run", Outcome.NOT_RUN, 0);
    }

    private static CallSpec spec() {
        return new CallSpec(
                new RoutingRequest(TargetKind.SERVICE, "depot-app", 0, 0),
                new ClientAccountId("a"),
                1,
                0,
                1_500,
                "POST",
                "/bookings",
                List.of(),
                "key-1",
                new byte[] {1},
                false);
    }

    private static Message.Dispatch dispatch(AttemptId attempt) {
        CallSpec spec = spec();
        return new Message.Dispatch(
                attempt,
                TARGET.incarnation(),
                spec.deadlineMillis(),
                spec.account().value(),
                spec.priority(),
                spec.routing().kind(),
                spec.method(),
                spec.path(),
                spec.headers(),
                spec.idempotencyKey(),
                new byte[0],
                0,
                0,
                spec.body().length,
                1);
    }

    /** Records revocations and retries. */
    private static final class FakeListener implements CallListener {
        private final List<Failure> revocations = new ArrayList<>();
        private final List<Failure> retried = new ArrayList<>();

        @Override
        public void attemptStarted(TargetId target) {}

        @Override
        public void attemptEnded(Call call, TargetId target, boolean timedOut) {}

        @Override
        public void retryNeeded(Call call, Failure failure) {
            retried.add(failure);
        }

        @Override
        public void attemptDetached(Call call, AttemptId attempt, int linkLoss, boolean longWait) {}

        @Override
        public void attemptResumed() {}

        @Override
        public void cancelNeeded(AttemptId attempt, TargetId target, long bodyBytes) {}

        @Override
        public void revocationNeeded(Call call, AttemptId attempt, TargetId target, Failure failure) {
            revocations.add(failure);
        }

        @Override
        public void callFailed(Failure failure) {}

        @Override
        public void firstByteReceived(Call call, long queueMicros) {}

        @Override
        public void callCompleted(Call call) {}

        @Override
        public void callFinished(Call call) {}
    }

    /** Records complete responses. */
    private static final class FakeCaller implements ResponseSink {
        private final List<Integer> statuses = new ArrayList<>();
        private String body = "";

        @Override
        public void respond(int status, List<Header> headers, byte[] bytes) {
            statuses.add(status);
            body = new String(bytes, StandardCharsets.UTF_8);
        }

        @Override
        public void start(int status, List<Header> headers) {}

        @Override
        public void write(byte[] bytes, Runnable whenWritten) {}

        @Override
        public void end() {}

        @Override
        public void abort() {}

        @Override
        public void onDisconnect(Runnable action) {}
    }

    /** Accepts all messages. */
    private static final class FakeLink implements Link {
        @Override
        public void send(Message message) {}

        @Override
        public void send(Message message, Runnable whenWritten) {}

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
