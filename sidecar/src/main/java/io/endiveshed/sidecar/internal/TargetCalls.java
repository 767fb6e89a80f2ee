package io.endiveshed.sidecar.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Message;
import io.endiveshed.sidecar.SidecarSettings;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/** The calls of one target: receives their bodies, queues them and runs a bounded number at a time. */
public final class TargetCalls {
    /** Most bytes of request bodies held at a time; more are refused. */
    static final long MAX_BODY_BYTES = 256L * 1024 * 1024;

    private final SidecarSettings settings;
    private final Incarnation incarnation;
    private final HttpClient target;
    private final Map<AttemptId, TargetCall> calls = new ConcurrentHashMap<>();
    private final Queue<TargetCall> waiting = new ArrayDeque<>();
    private final AtomicLong bodyBytes = new AtomicLong();
    private int running;
    private volatile boolean draining;

    /** Makes the table of calls of one target. */
    public TargetCalls(SidecarSettings settings, Incarnation incarnation, HttpClient target) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.target = target;
    }

    /** Handles a message about a call. */
    public void received(Link link, Message message) {
        if (message instanceof Message.Dispatch dispatch) {
            accept(link, dispatch);
        } else if (message instanceof Message.BodyChunk chunk) {
            body(chunk);
        } else if (message instanceof Message.Credit credit) {
            TargetCall call = calls.get(credit.attempt());
            if (call != null) {
                call.credit(credit.bytes());
            }
        } else if (message instanceof Message.Cancel cancel) {
            cancel(link, cancel.attempt());
        }
    }

    /** Cancels the calls whose answers were to go over a link that has closed. */
    public void linkClosed(Link link) {
        calls.values().stream().filter(call -> call.link() == link).forEach(TargetCall::cancel);
    }

    /** Refuses new calls from now on; calls that are held already go on. */
    public void drain() {
        draining = true;
    }

    /** Tells whether no call is held. */
    public boolean isIdle() {
        return calls.isEmpty();
    }

    /** Tells whether a call is held that came over one of the links. */
    public boolean hasCalls(Predicate<Link> links) {
        return calls.values().stream().anyMatch(call -> links.test(call.link()));
    }

    /** Fails the calls that are left when the process stops. */
    public void failRemaining() {
        calls.values().forEach(TargetCall::stop);
    }

    /** Returns the load report for an entry, whose links the predicate accepts. */
    public Message.LoadReport report(Predicate<Link> links, long sequence) {
        int queued;
        int active;
        synchronized (waiting) {
            queued = waiting.size();
            active = running;
        }
        long total = calls.values().stream().mapToLong(TargetCall::kvTokens).sum();
        long ours = calls.values().stream()
                .filter(call -> links.test(call.link()))
                .mapToLong(TargetCall::kvTokens)
                .sum();
        return new Message.LoadReport(
                sequence, active, queued, 0, ours, Math.max(0, settings.kvCapacityTokens() - total), draining, 0);
    }

    private void accept(Link link, Message.Dispatch dispatch) {
        if (!dispatch.incarnation().equals(incarnation)) {
            refuse(link, dispatch, ErrorKind.STALE_INCARNATION, "this sidecar is incarnation " + incarnation);
            return;
        }
        if (draining) {
            refuse(link, dispatch, ErrorKind.STOPPING, "target " + settings.instance() + " is leaving");
            return;
        }
        if (bodyBytes.addAndGet(dispatch.bodyBytes()) > MAX_BODY_BYTES) {
            bodyBytes.addAndGet(-dispatch.bodyBytes());
            refuse(link, dispatch, ErrorKind.OVERLOADED, "request bodies fill " + MAX_BODY_BYTES + " bytes");
            return;
        }
        calls.put(dispatch.attempt(), new TargetCall(link, dispatch, target, this::finished));
    }

    private void body(Message.BodyChunk chunk) {
        TargetCall call = calls.get(chunk.attempt());
        if (call == null || !call.append(chunk)) {
            return;
        }
        synchronized (waiting) {
            waiting.add(call);
        }
        startNext();
    }

    private void cancel(Link link, AttemptId attempt) {
        TargetCall call = calls.get(attempt);
        if (call != null) {
            call.cancel();
        }
        link.send(new Message.CancelAck(attempt));
    }

    private void startNext() {
        TargetCall next;
        synchronized (waiting) {
            if (running >= settings.maxRunning()) {
                return;
            }
            next = waiting.poll();
            if (next == null) {
                return;
            }
            running++;
        }
        next.run();
    }

    private void finished(TargetCall call) {
        calls.remove(call.attempt());
        bodyBytes.addAndGet(-call.bodyBytes());
        synchronized (waiting) {
            if (!waiting.remove(call) && call.hasRun()) {
                running--;
            }
        }
        startNext();
    }

    private static void refuse(Link link, Message.Dispatch dispatch, ErrorKind kind, String message) {
        link.send(new Message.AttemptFailed(dispatch.attempt(), kind, message, Outcome.NOT_RUN, 0));
    }
}
