package io.endiveshed.sidecar.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.net.http.TargetClient;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Message;
import io.endiveshed.sidecar.SidecarSettings;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.agrona.concurrent.NanoClock;

/** The calls of one target: receives their bodies, queues them and runs a bounded number at a time. */
public final class TargetCalls {
    /** Interval at which {@link #endExpiredCalls()} should run. */
    public static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMillis(250);

    /** Time for which a call without a link waits for its entry to resume it. */
    public static final Duration RESUME_WAIT = Duration.ofSeconds(5);

    /** Most bytes of request bodies held at a time; more are refused. */
    static final long MAX_BODY_BYTES = 256L * 1024 * 1024;

    private final SidecarSettings settings;
    private final Incarnation incarnation;
    private final TargetClient target;
    private final ClaimGate keyed;
    private final NanoClock clock;
    private final Map<AttemptId, TargetCall> calls = new ConcurrentHashMap<>();
    private final Set<TargetCall> waiting = new LinkedHashSet<>();
    private final Set<TargetCall> running = new LinkedHashSet<>();
    private final AtomicLong bodyBytes = new AtomicLong();
    private final AtomicLong droppedFrames = new AtomicLong();
    private volatile boolean draining;

    /** Makes the table of calls of one target. */
    public TargetCalls(
            SidecarSettings settings, Incarnation incarnation, TargetClient target, ClaimGate keyed, NanoClock clock) {
        this.keyed = keyed;
        this.clock = clock;
        this.settings = settings;
        this.incarnation = incarnation;
        this.target = target;
    }

    /** Handles a message about a call. */
    public void received(Link link, Message message) {
        if (message instanceof Message.Dispatch dispatch) {
            accept(link, dispatch);
        } else if (message instanceof Message.BodyChunk chunk) {
            body(link, chunk);
        } else if (message instanceof Message.Credit credit) {
            credit(link, credit);
        } else if (message instanceof Message.Resume resume) {
            resume(link, resume);
        } else if (message instanceof Message.Cancel cancel) {
            cancel(link, cancel.attempt());
        } else if (message instanceof Message.Revoke revoke) {
            keyed.revoke(link, revoke);
        } else {
            droppedFrames.incrementAndGet();
        }
    }

    /** Notes that a link has closed; the calls on it go on and wait for {@code Resume}. */
    public void linkClosed(Link link) {
        calls.values().forEach(call -> call.detach(link));
    }

    /** Ends calls whose time is over and calls that no entry has resumed in time. */
    public void endExpiredCalls() {
        calls.values().forEach(TargetCall::checkDeadline);
        calls.values().removeIf(call -> {
            boolean abandoned = call.isDetachedLonger(RESUME_WAIT.toNanos());
            if (abandoned) {
                call.cancel();
            }
            return abandoned;
        });
    }

    /** Returns the attempts that are known, whether they wait, run or have ended without acknowledgement. */
    public Collection<AttemptId> attemptIds() {
        return Set.copyOf(calls.keySet());
    }

    /** Returns the number of frames that were dropped because they named an unknown or finished attempt. */
    public long droppedFrames() {
        return droppedFrames.get();
    }

    /** Refuses new calls from now on; calls that are held already go on. */
    public void drain() {
        draining = true;
    }

    /** Tells whether no call is held. */
    public boolean isIdle() {
        return calls.isEmpty() && keyed.isIdle();
    }

    /** Tells whether a call is held that came over one of the links. */
    public boolean hasCalls(Predicate<Link> links) {
        return calls.values().stream().anyMatch(call -> call.isOnAnyOf(links));
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
            active = running.size();
        }
        long total = 0;
        long ours = 0;
        for (TargetCall call : calls.values()) {
            if (!call.isReleased()) {
                total += call.kvTokens();
                ours += call.isOnAnyOf(links) ? call.kvTokens() : 0;
            }
        }
        return new Message.LoadReport(
                sequence, active, queued, 0, ours, Math.max(0, settings.kvCapacityTokens() - total), draining, 0);
    }

    private void accept(Link link, Message.Dispatch dispatch) {
        if (!dispatch.incarnation().equals(incarnation)) {
            droppedFrames.incrementAndGet();
            refuse(link, dispatch, ErrorKind.STALE_INCARNATION, "this sidecar is incarnation " + incarnation);
            return;
        }
        if (draining) {
            refuse(link, dispatch, ErrorKind.STOPPING, "target " + settings.instance() + " is leaving");
            return;
        }
        if (dispatch.bodyBytes() < 0 || dispatch.bodyBytes() > MAX_BODY_BYTES) {
            refuse(link, dispatch, ErrorKind.PROTOCOL_ERROR, "body of " + dispatch.bodyBytes() + " bytes");
            return;
        }
        if (bodyBytes.addAndGet(dispatch.bodyBytes()) > MAX_BODY_BYTES) {
            bodyBytes.addAndGet(-dispatch.bodyBytes());
            refuse(link, dispatch, ErrorKind.OVERLOADED, "request bodies fill " + MAX_BODY_BYTES + " bytes");
            return;
        }
        TargetCall call = new TargetCall(link, dispatch, target, keyed.fence(dispatch), clock, this::released);
        if (calls.putIfAbsent(dispatch.attempt(), call) != null) {
            bodyBytes.addAndGet(-dispatch.bodyBytes());
            droppedFrames.incrementAndGet();
        }
    }

    private void body(Link link, Message.BodyChunk chunk) {
        TargetCall call = known(link, chunk.attempt());
        if (call == null || !call.append(chunk)) {
            return;
        }
        keyed.admit(call, () -> queue(call));
    }

    private void queue(TargetCall call) {
        synchronized (waiting) {
            // A call that ended while it waited for its claim has left the queues for good.
            if (!call.isReleased()) {
                waiting.add(call);
            }
        }
        startNext();
    }

    private void credit(Link link, Message.Credit credit) {
        TargetCall call = known(link, credit.attempt());
        if (call == null) {
            return;
        }
        if (credit.bytes() > 0) {
            call.credit(credit.bytes());
        } else if (call.isReleased()) {
            calls.remove(credit.attempt());
        }
    }

    /** An unknown attempt may have run and been forgotten, so the outcome is unknown. */
    private void resume(Link link, Message.Resume resume) {
        TargetCall call = calls.get(resume.attempt());
        if (call != null) {
            call.resume(link, resume.offset(), resume.written());
            return;
        }
        droppedFrames.incrementAndGet();
        link.send(new Message.AttemptFailed(
                resume.attempt(), ErrorKind.LINK_LOST, "the attempt is not known any more", Outcome.UNKNOWN, 0));
    }

    private void cancel(Link link, AttemptId attempt) {
        TargetCall call = calls.remove(attempt);
        if (call != null) {
            call.cancel();
        }
        link.send(new Message.CancelAck(attempt));
    }

    /** Returns the call if it is known and belongs to the link; counts the frame as dropped otherwise. */
    private TargetCall known(Link link, AttemptId attempt) {
        TargetCall call = calls.get(attempt);
        if (call == null || !call.isOn(link)) {
            droppedFrames.incrementAndGet();
            return null;
        }
        return call;
    }

    private void startNext() {
        for (TargetCall next = takeNext(); next != null; next = takeNext()) {
            next.run();
            if (next.isReleased()) {
                removeFromQueues(next);
            }
        }
    }

    private TargetCall takeNext() {
        synchronized (waiting) {
            if (running.size() >= settings.maxRunning() || waiting.isEmpty()) {
                return null;
            }
            TargetCall next = waiting.iterator().next();
            waiting.remove(next);
            running.add(next);
            return next;
        }
    }

    private void released(TargetCall call) {
        bodyBytes.addAndGet(-call.bodyBytes());
        removeFromQueues(call);
        startNext();
    }

    private void removeFromQueues(TargetCall call) {
        synchronized (waiting) {
            waiting.remove(call);
            running.remove(call);
        }
    }

    private static void refuse(Link link, Message.Dispatch dispatch, ErrorKind kind, String message) {
        link.send(new Message.AttemptFailed(dispatch.attempt(), kind, message, Outcome.NOT_RUN, 0));
    }
}
