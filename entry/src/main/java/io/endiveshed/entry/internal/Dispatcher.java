package io.endiveshed.entry.internal;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.coordination.routing.RoutingRequest;
import io.endiveshed.coordination.routing.TargetSelector;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Message;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.NanoClock;

/** Sends requests to targets and their answers to callers. */
public final class Dispatcher implements CallMessages, AttemptEvents {
    /** Time that a sidecar keeps work whose link broke. */
    private static final Duration RESUME_WAIT = Duration.ofSeconds(5);

    /**
     * Time to wait for the same sidecar before a call without a first byte is sent to another. A sidecar reconnects
     * within about 100 ms; waiting for it saves a second prefill.
     */
    private static final Duration SHORT_RESUME_WAIT = Duration.ofMillis(500);

    /** Time before the deadline at which an unanswered call is revoked; at most a quarter of the time allowed. */
    private static final Duration REVOKE_MARGIN = Duration.ofSeconds(1);

    private static final byte[] NO_DIGEST = new byte[0];

    private final SidecarLinks sidecars;
    private final Blackboard blackboard;
    private final TargetSelector selector;
    /**
     * Upper half of request ids, random for each process; the lower half counts. A secure random number for each
     * request takes a lock that all event loops share.
     */
    private final long idPrefix;

    private final AtomicLong requests = new AtomicLong();
    private final ScheduledExecutorService timers;
    private final NanoClock clock;
    private final CallCounters counters;
    private final CallLatencies latencies;
    private final RetryTokens retries = new RetryTokens();
    private final Cancels cancels;
    private final Revocations revocations;
    private final Map<RequestId, Call> calls = new ConcurrentHashMap<>();

    /** Makes a dispatcher. */
    public Dispatcher(
            SidecarLinks sidecars,
            Blackboard blackboard,
            TargetSelector selector,
            RandomGenerator random,
            ScheduledExecutorService timers,
            NanoClock clock,
            CallCounters counters,
            CallLatencies latencies) {
        this.sidecars = sidecars;
        this.blackboard = blackboard;
        this.selector = selector;
        this.idPrefix = random.nextLong();
        this.timers = timers;
        this.clock = clock;
        this.counters = counters;
        this.latencies = latencies;
        this.cancels = new Cancels(sidecars, counters, clock);
        this.revocations = new Revocations(sidecars, blackboard, timers);
    }

    /** Starts to repeat cancels until they are acknowledged. */
    public void start() {
        long interval = Cancels.REPEAT_INTERVAL.toMillis();
        timers.scheduleWithFixedDelay(cancels::repeat, interval, interval, TimeUnit.MILLISECONDS);
    }

    /** Sends a request to a target, or refuses it at once. */
    public void dispatch(CallPlan plan, ResponseSink response) {
        Call call = new Call(new RequestId(idPrefix, requests.incrementAndGet()), plan, response, this, clock);
        retries.requested();
        calls.put(call.id(), call);
        call.timer(timers.schedule(
                () -> call.cancel(CallFailures.deadlineExceeded(plan)), plan.deadlineMillis(), TimeUnit.MILLISECONDS));
        if (KeyRouting.isKeyed(plan)) {
            long revokeAt = plan.deadlineMillis() - Math.min(REVOKE_MARGIN.toMillis(), plan.deadlineMillis() / 4);
            timers.schedule(call::revokeUnanswered, revokeAt, TimeUnit.MILLISECONDS);
        }
        response.onDisconnect(() -> call.cancel(CallFailures.callerGone()));
        attempt(call, CallFailures.noTarget(plan.routing()));
    }

    /** Tells whether no call, cancel or revocation is pending. */
    public boolean isIdle() {
        return calls.isEmpty() && cancels.isIdle() && revocations.isIdle();
    }

    @Override
    public void received(TargetId target, Link link, Message message) {
        if (message instanceof Message.CancelAck ack) {
            cancels.acknowledged(ack.attempt());
            return;
        }
        if (message instanceof Message.RevokeResult result) {
            revocations.received(result);
            return;
        }
        AttemptId attempt = attemptOf(message);
        Call call = attempt == null ? null : calls.get(attempt.request());
        if (call == null || !call.received(link, attempt, message)) {
            counters.droppedFrame();
        }
    }

    @Override
    public void linkOpened(TargetId target) {
        for (Call call : calls.values()) {
            sidecars.link(target, call.plan().body().length).ifPresent(link -> call.linkOpened(target, link));
        }
        cancels.repeat();
    }

    @Override
    public void linkClosed(TargetId target, Link link) {
        calls.values().forEach(call -> call.linkLost(link));
    }

    @Override
    public void began(TargetId target) {
        sidecars.addOutstanding(target, 1);
    }

    @Override
    public void left(TargetId target) {
        sidecars.addOutstanding(target, -1);
    }

    @Override
    public void retry(Call call, Failure failure) {
        if (!retries.take()) {
            call.refuse(failure);
            return;
        }
        counters.retry();
        attempt(call, failure);
    }

    @Override
    public void detached(Call call, AttemptId attempt, int detachment, boolean longWait) {
        Duration wait = longWait ? RESUME_WAIT : SHORT_RESUME_WAIT;
        timers.schedule(() -> call.resumeExpired(attempt, detachment), wait.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void resumed() {
        counters.resume();
    }

    @Override
    public void cancel(AttemptId attempt, TargetId target, long bodyBytes) {
        cancels.cancel(attempt, target, bodyBytes);
    }

    @Override
    public void revoke(Call call, AttemptId attempt, TargetId target, Failure failure) {
        // The result may come at once, and the caller of this method holds the call's lock.
        timers.execute(() -> revocations.revoke(
                call.plan(),
                attempt,
                target,
                call.remainingMillis(),
                outcome -> call.revoked(attempt, outcome, failure)));
    }

    @Override
    public void failed(Failure failure) {
        counters.error(failure.kind());
    }

    @Override
    public void firstByte(Call call, long queueMicros) {
        CallLatencies.Band band = band(call);
        band.firstToken().update(call.elapsedMicros());
        band.queue().update(Math.max(0, queueMicros));
    }

    @Override
    public void completed(Call call) {
        band(call).total().update(call.elapsedMicros());
    }

    private CallLatencies.Band band(Call call) {
        return latencies.band(call.plan().account(), call.plan().routing().promptTokens());
    }

    @Override
    public void finished(Call call) {
        calls.remove(call.id());
    }

    /** Starts the next attempt on a target that was not tried; ends the call with the failure if there is none. */
    private void attempt(Call call, Failure otherwise) {
        CallPlan plan = call.plan();
        RoutingRequest routing = plan.routing();
        List<TargetView> serving = blackboard.fleet().read().serving(routing.kind(), routing.name());
        List<TargetId> tried = call.tried();
        List<TargetView> candidates = tried.isEmpty()
                ? serving
                : serving.stream()
                        .filter(target -> !tried.contains(target.id()))
                        .toList();
        Optional<TargetView> chosen =
                KeyRouting.isKeyed(plan) ? KeyRouting.select(plan, candidates) : selector.select(routing, candidates);
        Optional<Link> link = chosen.flatMap(target -> sidecars.link(target.id(), plan.body().length));
        if (link.isEmpty()) {
            call.refuse(otherwise);
            return;
        }
        TargetId target = chosen.get().id();
        call.begin(
                target,
                link.get(),
                attempt -> dispatchMessage(plan, attempt, target, Math.max(1, call.remainingMillis())));
    }

    private static AttemptId attemptOf(Message message) {
        if (message instanceof Message.BodyChunk chunk) {
            return chunk.attempt();
        } else if (message instanceof Message.ResponseHead head) {
            return head.attempt();
        } else if (message instanceof Message.AttemptFailed failed) {
            return failed.attempt();
        }
        return null;
    }

    private Message.Dispatch dispatchMessage(CallPlan plan, AttemptId attempt, TargetId target, long remainingMillis) {
        return new Message.Dispatch(
                attempt,
                target.incarnation(),
                remainingMillis,
                plan.account().value(),
                plan.priority(),
                plan.routing().kind(),
                plan.method(),
                plan.path(),
                plan.headers(),
                plan.idempotencyKey(),
                plan.idempotencyKey().isEmpty() ? NO_DIGEST : sha256(plan.body()),
                plan.routing().promptTokens(),
                plan.routing().maxTokens(),
                plan.body().length,
                blackboard.configuration().read().revision().value());
    }

    private static byte[] sha256(byte[] body) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(body);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java runtime", e);
        }
    }
}
