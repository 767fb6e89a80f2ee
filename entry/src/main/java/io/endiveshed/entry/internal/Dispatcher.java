package io.endiveshed.entry.internal;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.coordination.retry.AttemptBudget;
import io.endiveshed.coordination.retry.FailedAttempt;
import io.endiveshed.coordination.retry.RetryPolicy;
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
public final class Dispatcher implements CallMessageListener, CallListener {
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
    private final TargetSelector serviceSelector;
    private final EngineCallScheduler engines;
    /**
     * Upper half of request ids, random for each process; the lower half counts. A secure random number for each
     * request takes a lock that all event loops share.
     */
    private final long requestIdHigh;

    private final AtomicLong requestCount = new AtomicLong();
    private final ScheduledExecutorService timers;
    private final NanoClock clock;
    private final CallCounters counters;
    private final CallLatencies latencies;
    private final AttemptBudget serviceRetries;
    private final RetryPolicy serviceRetryPolicy;
    private final PendingCancels cancels;
    private final PendingRevocations revocations;
    private final Map<RequestId, Call> calls = new ConcurrentHashMap<>();

    /** Makes a dispatcher; the selector is for plain services without a key. */
    public Dispatcher(
            SidecarLinks sidecars,
            Blackboard blackboard,
            TargetSelector serviceSelector,
            EngineCallScheduler engines,
            RandomGenerator random,
            ScheduledExecutorService timers,
            NanoClock clock,
            CallCounters counters,
            CallLatencies latencies) {
        this.sidecars = sidecars;
        this.blackboard = blackboard;
        this.serviceSelector = serviceSelector;
        this.engines = engines;
        this.serviceRetries =
                new AttemptBudget(AttemptBudget.RETRY_SHARE, EngineCallScheduler.RETRY_RESERVE, clock::nanoTime);
        this.serviceRetryPolicy = new RetryPolicy(serviceRetries);
        this.requestIdHigh = random.nextLong();
        this.timers = timers;
        this.clock = clock;
        this.counters = counters;
        this.latencies = latencies;
        this.cancels = new PendingCancels(sidecars, counters, clock);
        this.revocations = new PendingRevocations(sidecars, blackboard, timers);
    }

    /** Starts to repeat cancels until they are acknowledged. */
    public void start() {
        long interval = PendingCancels.REPEAT_INTERVAL.toMillis();
        timers.scheduleWithFixedDelay(cancels::repeat, interval, interval, TimeUnit.MILLISECONDS);
    }

    /** Sends a request to a target, or refuses it at once. */
    public void dispatch(CallSpec spec, ResponseSink response) {
        Call call = new Call(new RequestId(requestIdHigh, requestCount.incrementAndGet()), spec, response, this, clock);
        calls.put(call.id(), call);
        call.setDeadlineTimer(timers.schedule(
                () -> call.cancel(CallFailures.deadlineExceeded(spec)), spec.deadlineMillis(), TimeUnit.MILLISECONDS));
        if (IdempotencyKeyRouting.hasIdempotencyKey(spec)) {
            long revokeAt = spec.deadlineMillis() - Math.min(REVOKE_MARGIN.toMillis(), spec.deadlineMillis() / 4);
            timers.schedule(call::revokeIfUnanswered, revokeAt, TimeUnit.MILLISECONDS);
        }
        response.onDisconnect(() -> call.cancel(CallFailures.callerDisconnected()));
        if (isEngineCall(call)) {
            engines.admit(call)
                    .peek(target -> startAttempt(call, Optional.of(target), CallFailures.noTarget(spec.routing())))
                    .peekLeft(call::refuse);
        } else {
            serviceRetries.recordRequest();
            startAttempt(call, serviceTarget(call), CallFailures.noTarget(spec.routing()));
        }
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
            revocations.handleResult(result);
            return;
        }
        AttemptId attempt = attemptId(message);
        Call call = attempt == null ? null : calls.get(attempt.request());
        if (call == null || !call.handleMessage(link, attempt, message)) {
            counters.countDroppedFrame();
        }
    }

    @Override
    public void linkOpened(TargetId target) {
        for (Call call : calls.values()) {
            sidecars.link(target, call.spec().body().length).ifPresent(link -> call.linkOpened(target, link));
        }
        cancels.repeat();
    }

    @Override
    public void linkClosed(TargetId target, Link link) {
        calls.values().forEach(call -> call.linkClosed(link));
    }

    @Override
    public void attemptStarted(TargetId target) {
        sidecars.addOutstanding(target, 1);
    }

    @Override
    public void attemptEnded(Call call, TargetId target, boolean timedOut) {
        sidecars.addOutstanding(target, -1);
        engines.recordAttemptEnd(call, timedOut);
    }

    @Override
    public void retryNeeded(Call call, Failure failure) {
        Optional<TargetId> target = isEngineCall(call) ? engines.retry(call, failure) : retryService(call, failure);
        target.ifPresent(next -> counters.countRetry());
        startAttempt(call, target, failure);
    }

    @Override
    public void linkLost(Call call, AttemptId attempt, int linkLoss, boolean longWait) {
        Duration wait = longWait ? RESUME_WAIT : SHORT_RESUME_WAIT;
        timers.schedule(() -> call.resumeTimedOut(attempt, linkLoss), wait.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void attemptResumed() {
        counters.countResume();
    }

    @Override
    public void cancelNeeded(AttemptId attempt, TargetId target, long bodyBytes) {
        cancels.cancel(attempt, target, bodyBytes);
    }

    @Override
    public void revocationNeeded(Call call, AttemptId attempt, TargetId target, Failure failure) {
        // The result may come at once, and the caller of this method holds the call's lock.
        timers.execute(() -> revocations.revoke(
                call.spec(),
                attempt,
                target,
                call.remainingMillis(),
                outcome -> call.revocationFinished(attempt, outcome, failure)));
    }

    @Override
    public void callFailed(Failure failure) {
        counters.countError(failure.kind());
    }

    @Override
    public void firstByteReceived(Call call, long queueMicros) {
        engines.recordFirstToken(call);
        CallLatencies.Histograms histograms = histograms(call);
        histograms.firstToken().update(call.elapsedMicros());
        histograms.queue().update(Math.max(0, queueMicros));
    }

    @Override
    public void callCompleted(Call call) {
        histograms(call).total().update(call.elapsedMicros());
    }

    private CallLatencies.Histograms histograms(Call call) {
        return latencies.histograms(call.spec().account(), call.spec().routing().promptTokens());
    }

    @Override
    public void callFinished(Call call) {
        calls.remove(call.id());
        engines.recordCallEnd(call);
    }

    /** Starts the next attempt of a call; ends the call with the failure if there is no target or it has no link. */
    private void startAttempt(Call call, Optional<TargetId> target, Failure failureWithoutTarget) {
        CallSpec spec = call.spec();
        Optional<Link> link = target.flatMap(id -> sidecars.link(id, spec.body().length));
        if (link.isEmpty()) {
            call.refuse(failureWithoutTarget);
            engines.recordCallEnd(call);
            return;
        }
        TargetId chosen = target.get();
        boolean started = call.startAttempt(
                chosen,
                link.get(),
                attempt -> dispatchMessage(spec, attempt, chosen, Math.max(1, call.remainingMillis())));
        if (!started) {
            // The call ended after its work was counted.
            engines.recordCallEnd(call);
        }
    }

    private Optional<TargetId> retryService(Call call, Failure failure) {
        AttemptId failed = new AttemptId(call.id(), call.triedTargets().size());
        long remaining = TimeUnit.MILLISECONDS.toNanos(call.remainingMillis());
        boolean repeatable = !IdempotencyKeyRouting.hasIdempotencyKey(call.spec());
        // The time that a plain service needs is not known.
        FailedAttempt attempt = new FailedAttempt(failed, failure, repeatable, false, remaining, 0);
        return serviceTarget(call).filter(target -> serviceRetryPolicy.shouldRetry(attempt));
    }

    /** Chooses a target that the call has not tried. */
    private Optional<TargetId> serviceTarget(Call call) {
        CallSpec spec = call.spec();
        RoutingRequest routing = spec.routing();
        List<TargetId> tried = call.triedTargets();
        List<TargetView> candidates = blackboard.fleet().read().serving(routing.kind(), routing.name()).stream()
                .filter(target -> !tried.contains(target.id()))
                .toList();
        Optional<TargetView> chosen = IdempotencyKeyRouting.hasIdempotencyKey(spec)
                ? IdempotencyKeyRouting.select(spec, candidates)
                : serviceSelector.select(routing, candidates);
        return chosen.map(TargetView::id);
    }

    private static boolean isEngineCall(Call call) {
        return call.spec().routing().kind() == TargetKind.ENGINE;
    }

    private static AttemptId attemptId(Message message) {
        if (message instanceof Message.BodyChunk chunk) {
            return chunk.attempt();
        } else if (message instanceof Message.ResponseHead head) {
            return head.attempt();
        } else if (message instanceof Message.AttemptFailed failed) {
            return failed.attempt();
        }
        return null;
    }

    private Message.Dispatch dispatchMessage(CallSpec spec, AttemptId attempt, TargetId target, long remainingMillis) {
        return new Message.Dispatch(
                attempt,
                target.incarnation(),
                remainingMillis,
                spec.account().value(),
                spec.priority(),
                spec.routing().kind(),
                spec.method(),
                spec.path(),
                spec.headers(),
                spec.idempotencyKey(),
                spec.idempotencyKey().isEmpty() ? NO_DIGEST : sha256(spec.body()),
                spec.routing().promptTokens(),
                spec.routing().maxTokens(),
                spec.body().length,
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
