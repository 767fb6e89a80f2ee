package io.endiveshed.entry.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.net.http.ErrorResponses;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Message;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import org.agrona.concurrent.NanoClock;

/**
 * One request of a caller, from dispatch to the end of its response, over one or more attempts. Safe for use by several
 * threads: methods that read or change the state are synchronized on the call.
 *
 * <p>Status and header fields are sent with the first chunk of the body, so that an attempt that fails before that
 * chunk can still be replaced by another.
 */
final class Call {
    private final RequestId id;
    private final CallSpec spec;
    private final ResponseSink response;
    private final CallListener listener;
    private final NanoClock clock;
    private final long startNanos;
    private final List<TargetId> triedTargets = new ArrayList<>(1);
    private Attempt currentAttempt;
    private Message.ResponseHead head;
    private Future<?> deadlineTimer;

    /** Failure for which the current attempt is being revoked, or null. */
    private Failure revocationReason;

    private boolean mayHaveRun;
    private boolean responseStarted;
    private boolean finished;

    Call(RequestId id, CallSpec spec, ResponseSink response, CallListener listener, NanoClock clock) {
        this.id = id;
        this.spec = spec;
        this.response = response;
        this.listener = listener;
        this.clock = clock;
        this.startNanos = clock.nanoTime();
    }

    RequestId id() {
        return id;
    }

    CallSpec spec() {
        return spec;
    }

    /** Returns the targets of the earlier attempts and of the current one, in order. */
    synchronized List<TargetId> triedTargets() {
        return List.copyOf(triedTargets);
    }

    /** Returns the time until the deadline of the caller in milliseconds; negative after it. */
    long remainingMillis() {
        return spec.deadlineMillis() - elapsedMicros() / 1_000;
    }

    /** Returns the time since the call was created, in microseconds. */
    long elapsedMicros() {
        return (clock.nanoTime() - startNanos) / 1_000;
    }

    /** Sets the timer that ends the call at its deadline; it is cancelled when the call ends. */
    synchronized void setDeadlineTimer(Future<?> value) {
        deadlineTimer = value;
        if (finished) {
            value.cancel(false);
        }
    }

    /** Starts the next attempt on a target; returns false if the call has already ended. */
    synchronized boolean startAttempt(TargetId target, Link link, DispatchFactory dispatchFactory) {
        if (finished) {
            return false;
        }
        triedTargets.add(target);
        AttemptId attempt = new AttemptId(id, triedTargets.size());
        currentAttempt = new Attempt(attempt, target, link, spec.body());
        head = null;
        revocationReason = null;
        listener.attemptStarted(target);
        currentAttempt.send(dispatchFactory.create(attempt));
        if (!link.isOpen()) {
            linkClosed(link);
        }
        return true;
    }

    /**
     * Handles a message about an attempt; returns false if the message belongs to no current attempt or comes on
     * another link.
     */
    synchronized boolean handleMessage(Link link, AttemptId attempt, Message message) {
        if (finished || currentAttempt == null || !currentAttempt.id().equals(attempt) || !currentAttempt.isOn(link)) {
            return false;
        }
        if (message instanceof Message.ResponseHead responseHead) {
            head = responseHead;
        } else if (message instanceof Message.BodyChunk chunk) {
            handleChunk(chunk);
        } else if (message instanceof Message.AttemptFailed failed) {
            currentAttempt.acknowledgeEnd();
            attemptFailed(failureOf(failed));
        }
        return true;
    }

    /** Handles a closed link: the attempt on it waits for a new link, unless its request body was sent only in part. */
    synchronized void linkClosed(Link link) {
        if (finished || currentAttempt == null || !currentAttempt.isOn(link)) {
            return;
        }
        currentAttempt.detach();
        if (!currentAttempt.isBodySent()) {
            abandonAttempt(Outcome.NOT_RUN);
            return;
        }
        listener.attemptDetached(
                this, currentAttempt.id(), currentAttempt.linkLosses(), responseStarted || hasIdempotencyKey());
    }

    /** Resumes the current attempt on a new link of its target. */
    synchronized void linkOpened(TargetId target, Link link) {
        if (finished
                || currentAttempt == null
                || !currentAttempt.target().equals(target)
                || currentAttempt.isOn(link)) {
            return;
        }
        if (!currentAttempt.isBodySent()) {
            abandonAttempt(Outcome.NOT_RUN);
            return;
        }
        currentAttempt.resumeOn(link);
        listener.attemptResumed();
        if (!link.isOpen()) {
            linkClosed(link);
        }
    }

    /** Abandons an attempt that has had no link since the link loss with the given number. */
    synchronized void resumeTimedOut(AttemptId attempt, int linkLoss) {
        if (!finished
                && currentAttempt != null
                && currentAttempt.id().equals(attempt)
                && currentAttempt.isDetachedSince(linkLoss)) {
            abandonAttempt(Outcome.UNKNOWN);
        }
    }

    /** Has the current attempt revoked shortly before the deadline, so that the error can state that it did not run. */
    synchronized void revokeIfUnanswered() {
        if (!finished && currentAttempt != null && !responseStarted) {
            revokeAttempt(CallFailures.deadlineExceeded(spec));
        }
    }

    /**
     * Handles the result of a revocation: ends an attempt that did not run or whose link was lost; any other attempt
     * continues until the deadline.
     */
    synchronized void revocationFinished(AttemptId attempt, Outcome outcome, Failure failure) {
        boolean awaitsResult = !finished
                && !responseStarted
                && currentAttempt != null
                && currentAttempt.id().equals(attempt);
        if (awaitsResult && (outcome == Outcome.NOT_RUN || failure.kind() == ErrorKind.LINK_LOST)) {
            cancelAttempt();
            attemptFailed(CallFailures.withOutcome(failure, outcome));
        }
    }

    /** Fails the call because no target accepts its next attempt. */
    synchronized void refuse(Failure failure) {
        if (!finished) {
            fail(failure);
        }
    }

    /**
     * Cancels the current attempt and fails the call, because the caller has disconnected or the deadline has passed.
     */
    synchronized void cancel(Failure failure) {
        if (finished) {
            return;
        }
        cancelAttempt();
        endAttempt(!responseStarted && failure.kind() == ErrorKind.DEADLINE_EXCEEDED);
        fail(failure);
    }

    private void handleChunk(Message.BodyChunk chunk) {
        if (chunk.offset() != currentAttempt.receivedBytes() || (head == null && !responseStarted)) {
            cancelAttempt();
            attemptFailed(CallFailures.outOfOrderBody(chunk.offset(), currentAttempt.receivedBytes()));
            return;
        }
        startResponse();
        int length = chunk.bytes().length;
        currentAttempt.addReceived(length);
        if (length > 0) {
            Attempt attempt = currentAttempt;
            response.write(chunk.bytes(), () -> confirmWritten(attempt, length));
        }
        if (chunk.last()) {
            currentAttempt.acknowledgeEnd();
            response.end();
            listener.callCompleted(this);
            finish();
        }
    }

    private void startResponse() {
        if (!responseStarted) {
            responseStarted = true;
            listener.firstByteReceived(this, head.queueMicros());
            response.start(head.status(), head.headers());
        }
    }

    private synchronized void confirmWritten(Attempt attempt, int bytes) {
        if (!finished && attempt == currentAttempt) {
            attempt.addWritten(bytes);
        }
    }

    /**
     * Ends an attempt whose link was lost. The sidecar gets the cancel as soon as it is linked again. A call with an
     * idempotency key that may have run is revoked first.
     */
    private void abandonAttempt(Outcome outcome) {
        Failure failure = Failure.of(ErrorKind.LINK_LOST)
                .message("the link to target " + currentAttempt.target().instance() + " was lost")
                .outcome(outcome)
                .build();
        if (outcome == Outcome.UNKNOWN && hasIdempotencyKey() && !responseStarted) {
            revokeAttempt(failure);
            return;
        }
        cancelAttempt();
        attemptFailed(failure);
    }

    private void revokeAttempt(Failure reason) {
        revocationReason = reason;
        listener.revocationNeeded(this, currentAttempt.id(), currentAttempt.target(), reason);
    }

    /**
     * Returns the failure that a sidecar reported. For a revoked attempt, which a sidecar may report as cancelled before
     * it sends the result of the revocation, it is the failure that led to the revocation.
     */
    private Failure failureOf(Message.AttemptFailed failed) {
        return failed.kind() == ErrorKind.CANCELLED && revocationReason != null
                ? CallFailures.withOutcome(revocationReason, failed.outcome())
                : CallFailures.fromMessage(failed);
    }

    private void cancelAttempt() {
        if (currentAttempt != null) {
            listener.cancelNeeded(currentAttempt.id(), currentAttempt.target(), spec.body().length);
        }
    }

    private void attemptFailed(Failure failure) {
        mayHaveRun |= failure.outcome() != Outcome.NOT_RUN;
        if (!responseStarted
                && RetryRules.mayRetry(hasIdempotencyKey(), triedTargets.size(), failure)
                && remainingMillis() > 0) {
            endAttempt(false);
            listener.retryNeeded(this, failure);
            return;
        }
        fail(failure);
    }

    private boolean hasIdempotencyKey() {
        return IdempotencyKeyRouting.hasIdempotencyKey(spec);
    }

    /**
     * Ends the call with a failure. A response that has started is aborted, so that the caller sees it truncated; an
     * event stream gets an error event before that.
     */
    private void fail(Failure failure) {
        Failure reported = mayHaveRun ? CallFailures.withNotRunAsUnknown(failure) : failure;
        if (!responseStarted) {
            ErrorResponses.send(response, reported);
        } else {
            if (spec.streaming()) {
                response.write(errorEvent(reported), () -> {});
            }
            response.abort();
        }
        listener.callFailed(reported);
        finish();
    }

    private void endAttempt(boolean timedOut) {
        if (currentAttempt != null) {
            currentAttempt.stopBody();
            listener.attemptEnded(this, currentAttempt.target(), timedOut);
            currentAttempt = null;
        }
    }

    private void finish() {
        finished = true;
        endAttempt(false);
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        listener.callFinished(this);
    }

    private static byte[] errorEvent(Failure failure) {
        return ("event: error\ndata: " + ErrorResponses.json(failure) + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Creates the message that starts an attempt. */
    @FunctionalInterface
    interface DispatchFactory {
        Message.Dispatch create(AttemptId attempt);
    }
}
