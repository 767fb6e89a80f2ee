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
 * One request of a caller from dispatch to its final answer, over one or more attempts. Methods are synchronized on the
 * call.
 *
 * <p>Status and header fields are held back until the first byte of the body, so that an attempt that fails before it can
 * still be replaced by another.
 */
final class Call {
    private final RequestId id;
    private final CallPlan plan;
    private final ResponseSink response;
    private final AttemptEvents events;
    private final NanoClock clock;
    private final long startNanos;
    private final List<TargetId> tried = new ArrayList<>(1);
    private Attempt current;
    private Message.ResponseHead head;
    private Future<?> timer;
    private boolean mayHaveRun;
    private boolean started;
    private boolean finished;

    Call(RequestId id, CallPlan plan, ResponseSink response, AttemptEvents events, NanoClock clock) {
        this.id = id;
        this.plan = plan;
        this.response = response;
        this.events = events;
        this.clock = clock;
        this.startNanos = clock.nanoTime();
    }

    RequestId id() {
        return id;
    }

    CallPlan plan() {
        return plan;
    }

    /** Returns the targets of earlier and current attempts. */
    synchronized List<TargetId> tried() {
        return List.copyOf(tried);
    }

    /** Returns the time that the caller still allows, in milliseconds. */
    long remainingMillis() {
        return plan.deadlineMillis() - elapsedMicros() / 1_000;
    }

    /** Returns the time since the call was made, in microseconds. */
    long elapsedMicros() {
        return (clock.nanoTime() - startNanos) / 1_000;
    }

    synchronized void timer(Future<?> value) {
        timer = value;
        if (finished) {
            value.cancel(false);
        }
    }

    /** Starts the next attempt; returns false if the call has ended. */
    synchronized boolean begin(TargetId target, Link link, DispatchMaker dispatch) {
        if (finished) {
            return false;
        }
        tried.add(target);
        AttemptId attempt = new AttemptId(id, tried.size());
        current = new Attempt(attempt, target, link, plan.body());
        head = null;
        events.began(target);
        current.send(dispatch.make(attempt));
        if (!link.isOpen()) {
            linkLost(link);
        }
        return true;
    }

    /** Handles a message about an attempt; returns false if it was dropped. */
    synchronized boolean received(Link link, AttemptId attempt, Message message) {
        if (finished || current == null || !current.id().equals(attempt) || !current.isOn(link)) {
            return false;
        }
        if (message instanceof Message.ResponseHead responseHead) {
            head = responseHead;
        } else if (message instanceof Message.BodyChunk chunk) {
            chunk(chunk);
        } else if (message instanceof Message.AttemptFailed failed) {
            current.acknowledgeEnd();
            attemptFailed(CallFailures.of(failed));
        }
        return true;
    }

    /** Notes that a link has closed; the attempt on it waits for the sidecar to come back. */
    synchronized void linkLost(Link link) {
        if (finished || current == null || !current.isOn(link)) {
            return;
        }
        current.detach();
        if (!current.isBodySent()) {
            abandonAttempt(Outcome.NOT_RUN);
            return;
        }
        events.detached(this, current.id(), current.detachments(), started || isKeyed());
    }

    /** Continues a detached attempt on a new link of its target. */
    synchronized void linkOpened(TargetId target, Link link) {
        if (finished || current == null || !current.target().equals(target) || current.isOn(link)) {
            return;
        }
        if (!current.isBodySent()) {
            abandonAttempt(Outcome.NOT_RUN);
            return;
        }
        current.resumeOn(link);
        events.resumed();
        if (!link.isOpen()) {
            linkLost(link);
        }
    }

    /** Gives an attempt up that is still without a link since the given loss. */
    synchronized void resumeExpired(AttemptId attempt, int detachment) {
        if (!finished && current != null && current.id().equals(attempt) && current.isDetachedSince(detachment)) {
            abandonAttempt(Outcome.UNKNOWN);
        }
    }

    /** Fences the current attempt shortly before the deadline, so that the caller may learn that it was not run. */
    synchronized void revokeUnanswered() {
        if (!finished && current != null && !started) {
            events.revoke(this, current.id(), current.target(), CallFailures.deadlineExceeded(plan));
        }
    }

    /** Ends an attempt that was revoked; one that may have run goes on until its deadline unless its link is lost. */
    synchronized void revoked(AttemptId attempt, Outcome outcome, Failure failure) {
        boolean ours = !finished && !started && current != null && current.id().equals(attempt);
        if (ours && (outcome == Outcome.NOT_RUN || failure.kind() == ErrorKind.LINK_LOST)) {
            cancelAttempt();
            attemptFailed(CallFailures.withOutcome(failure, outcome));
        }
    }

    /** Ends the call because no target can take its next attempt. */
    synchronized void refuse(Failure failure) {
        if (!finished) {
            end(failure);
        }
    }

    /** Gives the call up because the caller has gone or its time is over, and cancels the attempt. */
    synchronized void cancel(Failure failure) {
        if (finished) {
            return;
        }
        cancelAttempt();
        leaveAttempt(!started && failure.kind() == ErrorKind.DEADLINE_EXCEEDED);
        end(failure);
    }

    private void chunk(Message.BodyChunk chunk) {
        if (chunk.offset() != current.received() || (head == null && !started)) {
            cancelAttempt();
            attemptFailed(CallFailures.outOfOrder(chunk.offset(), current.received()));
            return;
        }
        startResponse();
        int length = chunk.bytes().length;
        current.received(length);
        if (length > 0) {
            Attempt attempt = current;
            response.write(chunk.bytes(), () -> written(attempt, length));
        }
        if (chunk.last()) {
            current.acknowledgeEnd();
            response.end();
            events.completed(this);
            finish();
        }
    }

    private void startResponse() {
        if (!started) {
            started = true;
            events.firstByte(this, head.queueMicros());
            response.start(head.status(), head.headers());
        }
    }

    private synchronized void written(Attempt attempt, int bytes) {
        if (!finished && attempt == current) {
            attempt.written(bytes);
        }
    }

    /** Leaves an attempt whose link broke; the sidecar is told to drop it as soon as it is linked again. */
    private void abandonAttempt(Outcome outcome) {
        Failure failure = Failure.of(ErrorKind.LINK_LOST)
                .message("the link to target " + current.target().instance() + " was lost")
                .outcome(outcome)
                .build();
        if (outcome == Outcome.UNKNOWN && isKeyed() && !started) {
            events.revoke(this, current.id(), current.target(), failure);
            return;
        }
        cancelAttempt();
        attemptFailed(failure);
    }

    private void cancelAttempt() {
        if (current != null) {
            events.cancel(current.id(), current.target(), plan.body().length);
        }
    }

    private void attemptFailed(Failure failure) {
        mayHaveRun |= failure.outcome() != Outcome.NOT_RUN;
        if (!started && RetryRules.mayRetry(isKeyed(), tried.size(), failure) && remainingMillis() > 0) {
            leaveAttempt(false);
            events.retry(this, failure);
            return;
        }
        end(failure);
    }

    private boolean isKeyed() {
        return KeyRouting.isKeyed(plan);
    }

    /** Ends the call with a failure; after the first byte the caller sees a truncated response. */
    private void end(Failure failure) {
        Failure shown = mayHaveRun ? CallFailures.possiblyRun(failure) : failure;
        if (!started) {
            ErrorResponses.send(response, shown);
        } else {
            if (plan.streams()) {
                response.write(errorEvent(shown), () -> {});
            }
            response.abort();
        }
        events.failed(shown);
        finish();
    }

    private void leaveAttempt(boolean timedOut) {
        if (current != null) {
            current.stopBody();
            events.left(this, current.target(), timedOut);
            current = null;
        }
    }

    private void finish() {
        finished = true;
        leaveAttempt(false);
        if (timer != null) {
            timer.cancel(false);
        }
        events.finished(this);
    }

    private static byte[] errorEvent(Failure failure) {
        return ("event: error\ndata: " + ErrorResponses.json(failure) + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Makes the message that starts an attempt. */
    @FunctionalInterface
    interface DispatchMaker {
        Message.Dispatch make(AttemptId attempt);
    }
}
