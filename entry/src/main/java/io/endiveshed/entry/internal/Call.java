package io.endiveshed.entry.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.net.http.ErrorResponses;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Message;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;

/** One request of a caller from dispatch to its final answer. Methods are synchronized on the call. */
final class Call {
    private final CallPlan plan;
    private final ResponseSink response;
    private final AttemptId attempt;
    private final TargetId target;
    private final Link link;
    private final Runnable whenFinished;
    private Future<?> timer;
    private long received;
    private boolean started;
    private boolean finished;

    Call(CallPlan plan, ResponseSink response, AttemptId attempt, TargetId target, Link link, Runnable whenFinished) {
        this.plan = plan;
        this.response = response;
        this.attempt = attempt;
        this.target = target;
        this.link = link;
        this.whenFinished = whenFinished;
    }

    AttemptId attempt() {
        return attempt;
    }

    TargetId target() {
        return target;
    }

    synchronized void timer(Future<?> value) {
        timer = value;
        if (finished) {
            value.cancel(false);
        }
    }

    synchronized void head(Message.ResponseHead head) {
        if (finished || started) {
            return;
        }
        started = true;
        response.start(head.status(), head.headers());
    }

    synchronized void chunk(Message.BodyChunk chunk) {
        if (finished || !started) {
            return;
        }
        if (chunk.offset() != received) {
            fail(Failure.of(ErrorKind.PROTOCOL_ERROR)
                    .message("response bytes at " + chunk.offset() + " instead of " + received)
                    .outcome(Outcome.UNKNOWN)
                    .build());
            return;
        }
        received += chunk.bytes().length;
        if (chunk.bytes().length > 0) {
            response.write(chunk.bytes(), () -> link.send(new Message.Credit(attempt, chunk.bytes().length)));
        }
        if (chunk.last()) {
            response.end();
            finish();
        }
    }

    /** Ends the call with a failure; after the first byte the caller sees a truncated response. */
    synchronized void fail(Failure failure) {
        if (finished) {
            return;
        }
        if (!started) {
            ErrorResponses.send(response, failure);
        } else if (plan.streams()) {
            response.write(errorEvent(failure), () -> {});
            response.abort();
        } else {
            response.abort();
        }
        finish();
    }

    /** Gives the call up because the caller has gone or its time is over, and tells the sidecar. */
    synchronized void cancel(Failure failure) {
        if (!finished) {
            link.send(new Message.Cancel(attempt));
            fail(failure);
        }
    }

    private void finish() {
        finished = true;
        if (timer != null) {
            timer.cancel(false);
        }
        whenFinished.run();
    }

    private static byte[] errorEvent(Failure failure) {
        return ("event: error\ndata: " + ErrorResponses.json(failure) + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
