package io.endiveshed.gateway.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.coordination.availability.TargetStatus;
import io.endiveshed.coordination.service.RouteKind;
import io.endiveshed.gateway.ForwardingOptions;
import io.endiveshed.gateway.TargetResponseHead;
import io.endiveshed.net.http.ExchangeOptions;
import io.endiveshed.net.http.HttpExchange;
import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Processes one request from its admission to the end of its response: attempts at targets, retries and the deadline.
 *
 * <p>Confined to one event loop. A response of a target is passed on unchanged. A failure of the gateway states that the
 * request has not run only if no attempt may have run.
 */
final class ForwardedRequest implements TargetResponse.Listener {
    /** Minimum remaining time in milliseconds for a further attempt; with less, it would only load the target. */
    private static final double MIN_ATTEMPT_MILLIS = 60;

    /** Interval in milliseconds at which another target is looked for while the current one sends nothing. */
    private static final double STALL_RECHECK_MILLIS = 300;

    /** Retry delay sent to a caller when no memory was available; about the duration of one long prompt. */
    private static final Duration MEMORY_RETRY_DELAY = Duration.ofSeconds(2);

    /** Retry delay sent to a caller in other cases, such as a target that refused the request. */
    private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(200);

    private final GatewayContext context;
    private final AdmittedRequest request;
    private final ResponseSink sink;
    private final Runnable whenFinished;
    private final Set<TargetRuntime> excludedTargets = new HashSet<>();
    private final Set<TargetRuntime> triedTargets = new HashSet<>();
    private final ResponseRelay relay;
    private final RequestTraits traits;
    private final RequestLog log;
    private final UnsentAttempts unsentAttempts;
    private Assignment assignment;
    private TargetResponse response;
    private AttemptSignals signals;
    private HttpExchange exchange;
    private ScheduledFuture<?> deadlineTimer;
    private ScheduledFuture<?> stallTimer;
    private int attempts;
    private boolean mayHaveRun;
    private boolean isSlowLogged;
    private boolean isFinished;
    private double firstMillis = -1;

    ForwardedRequest(GatewayContext context, AdmittedRequest request, ResponseSink sink, Runnable whenFinished) {
        this.context = context;
        this.request = request;
        this.sink = sink;
        this.whenFinished = whenFinished;
        this.relay = new ResponseRelay(sink, context.dialect(), request.caller().lastEventId());
        this.traits = new RequestTraits(request);
        this.log = new RequestLog(context, request, traits, relay);
        this.unsentAttempts = new UnsentAttempts(context.metrics());
    }

    void start() {
        context.budgets().apply(request.service().name()).recordRequest();
        sink.onDisconnect(this::callerDisconnected);
        if (isFinished) {
            return;
        }
        deadlineTimer = context.loop()
                .schedule(
                        this::deadlineReached,
                        (long) request.remainingMillis(System.nanoTime()),
                        TimeUnit.MILLISECONDS);
        startAttempt();
    }

    /** Picks a target and prepares the attempt; ends the request if it may not be sent or no target is found. */
    private void startAttempt() {
        Either<Failure, Assignment> picked = pickTarget(System.nanoTime());
        if (picked.isLeft()) {
            fail(picked.getLeft());
            return;
        }
        prepare(picked.get());
    }

    /**
     * Returns why the request may not be sent at this moment: its key may have been revoked, or targets crash when they run
     * it. Checked again after each wait, as that may have changed or the process may have been suspended.
     */
    private Optional<Failure> reasonNotToSend() {
        long catalogAgeMillis = context.catalogAgeMillis().getAsLong();
        boolean isKeyUnchecked =
                request.account().isPresent() && context.access().isTooOldForKeys(catalogAgeMillis);
        return isKeyUnchecked
                ? Optional.of(context.access().staleKeyFailure(catalogAgeMillis))
                : context.crashes().refusal(traits);
    }

    private Either<Failure, Assignment> pickTarget(long nowNanos) {
        Optional<Failure> reason = reasonNotToSend();
        if (reason.isPresent()) {
            return Either.left(reason.get());
        }
        TargetPicker picker =
                request.service().engineCosts().isPresent() ? context.enginePicker() : context.plainPicker();
        long waitingSinceNanos = relay.hasStarted() ? relay.lastWriteNanos() : request.arrivedNanos();
        return picker.pick(request, waitingSinceNanos, excludedTargets, nowNanos);
    }

    private void prepare(Assignment picked) {
        assignment = picked;
        picked.prepare(isReady -> prepared(picked, isReady), () -> targetUnresponsive(picked));
    }

    /** Sends the request if its resources were granted and are still there; otherwise places it again or ends it. */
    private void prepared(Assignment picked, boolean isReady) {
        if (isFinished || picked != assignment) {
            picked.release();
            return;
        }
        if (isReady && !picked.isWithdrawn(System.nanoTime())) {
            reasonNotToSend().ifPresentOrElse(this::fail, () -> send(picked, System.nanoTime()));
            return;
        }
        picked.release();
        if (unsentAttempts.mayPlaceAfterRefusedMemory(picked, System.nanoTime())) {
            startAttempt();
        } else {
            fail(Failure.of(ErrorKind.OVERLOADED)
                    .message("engines did not reserve memory for the prompt")
                    .retryAfter(MEMORY_RETRY_DELAY)
                    .build());
        }
    }

    private void send(Assignment prepared, long nowNanos) {
        attempts++;
        TargetRuntime target = prepared.target();
        signals = new AttemptSignals(prepared, request.service().engineCosts().isPresent(), nowNanos);
        HttpRequestData data = request.caller().data();
        OptionalLong lastEventId =
                relay.hasStarted() ? relay.lastEventId() : request.caller().lastEventId();
        List<Header> headers = context.dialect()
                .targetHeaders(
                        request.caller(),
                        new ForwardingOptions(
                                target.instance().id(),
                                (long) request.remainingMillis(nowNanos),
                                request.account().map(account -> account.id()),
                                Urgency.of(request),
                                prepared.helpers(),
                                lastEventId));
        boolean isStreaming = request.route().kind() == RouteKind.STREAMING;
        context.embeddedResponses().recordSent(request.caller().id());
        response = new TargetResponse(this, target, context.dialect(), isStreaming, relay, context.responseMemory());
        TargetResponse current = response;
        ExchangeOptions options = ExchangeOptions.builder()
                .label(request.caller().id())
                .responseOwner(
                        head -> context.dialect().responseOwner(request.caller().id(), head))
                .embeddedResponseCheck(context.embeddedResponses().checkFor(isStreaming))
                .condition(() -> reasonNotToSend().isEmpty()
                        && prepared.tryAcquire(System.nanoTime(), context.cold()::tryAcquireRequest))
                // A late copy of the first response of a target has the same id as its next one.
                .onNewConnection(!triedTargets.add(target))
                .build();
        exchange = target.client().send(data.method(), data.uri(), headers, data.body(), current, options);
        relay.setExchange(exchange);
        log.attemptPlaced(prepared, attempts);
        startStallTimer(StallLimits.untilFirstEvent(prepared.predictedMillis()));
    }

    @Override
    public void headArrived(TargetResponse from) {
        if (from.head().isFromOtherTarget()) {
            return;
        }
        if (from.head().isLeaving()) {
            from.target().markLeaving();
        }
        from.head().pause().ifPresent(pause -> {
            from.target().pause(pause, System.nanoTime());
            log.targetPaused(from.target(), pause);
        });
        context.cold().answered(from.target(), from.head());
        if (from == response) {
            signals.headArrived(from.head(), System.nanoTime());
        }
        context.limits().answered(from.target(), request.caller().id(), from.head(), from.sentNanos());
    }

    @Override
    public void eventsArrived(TargetResponse from) {
        if (from != response) {
            return;
        }
        if (firstMillis < 0) {
            firstMillis = request.elapsedMillis(System.nanoTime());
        }
        signals.eventsArrived(System.nanoTime());
        assignment.responseStarted();
        startStallTimer(StallLimits.betweenEvents(request.route()));
    }

    @Override
    public void succeeded(TargetResponse from) {
        if (from != response || isFinished) {
            return;
        }
        signals.succeeded(System.nanoTime());
        context.crashes().answered(traits);
        from.deliver();
        finish(from.head().status(), "answered");
    }

    @Override
    public void targetFailed(TargetResponse from) {
        if (from != response || isFinished) {
            return;
        }
        TargetRuntime target = assignment.target();
        boolean isNotRun = from.head().isNotRun();
        Optional<TargetRuntime> failedDependency = failedDependency(from.head());
        log.attemptEvent(
                assignment,
                attempts,
                isNotRun ? "attempt.refused" : "attempt.failed",
                "status " + from.head().status()
                        + failedDependency
                                .map(engine ->
                                        ", caused by " + engine.instance().id())
                                .orElse(""));
        endAttempt();
        failedDependency.ifPresent(engine -> {
            engine.recovery().recordNoResponse(System.nanoTime());
            excludedTargets.add(engine);
        });
        if (isNotRun) {
            if (failedDependency.isEmpty()) {
                signals.refused(System.nanoTime());
                excludedTargets.add(target);
            }
            retryOrElse(
                    () -> fail(Failure.of(ErrorKind.OVERLOADED)
                            .message("target " + target.instance().id() + " refused the request with status "
                                    + from.head().status())
                            .retryAfter(DEFAULT_RETRY_DELAY)
                            .build()),
                    true);
            return;
        }
        signals.failed(System.nanoTime());
        mayHaveRun = true;
        retryOrElse(
                () -> {
                    if (relay.hasStarted()) {
                        fail(FailureResponder.unknownOutcome("the resumed stream failed"));
                    } else {
                        from.deliver();
                        finish(from.head().status(), "error response of the target passed on");
                    }
                },
                false);
    }

    @Override
    public void exchangeBroken(TargetResponse from, boolean sent, String message) {
        if (from != response || isFinished) {
            return;
        }
        TargetRuntime target = assignment.target();
        log.attemptEvent(assignment, attempts, "attempt.broken", message);
        cancelExchange();
        endAttempt();
        Optional<Failure> reason = sent ? Optional.empty() : reasonNotToSend();
        if (reason.isPresent()) {
            // The exchange was not sent because of the request, which says nothing about the target.
            attempts--;
            fail(reason.get());
            return;
        }
        if (!sent) {
            long nowNanos = System.nanoTime();
            attempts--;
            if (!assignment.isWithdrawn(nowNanos)) {
                if (target.mayGetAssigned(nowNanos)) {
                    target.recovery().recordNoResponse(nowNanos);
                    context.cold().unreachable(target);
                }
                excludedTargets.add(target);
            }
            if (unsentAttempts.mayPlaceAfterUnusedConnection(assignment, nowNanos)) {
                startAttempt();
            } else {
                fail(Failure.of(ErrorKind.NO_TARGET)
                        .message(message)
                        .retryAfter(unsentRetryDelay(target))
                        .build());
            }
            return;
        }
        context.cold().unreachable(target);
        signals.failed(System.nanoTime());
        context.crashes().attemptBroken(target, traits);
        mayHaveRun = true;
        excludedTargets.add(target);
        retryOrElse(() -> fail(FailureResponder.unknownOutcome(message)), false);
    }

    /** Returns when a request that was not written may be sent to its target, if it was kept back because of its rate. */
    private static Duration unsentRetryDelay(TargetRuntime target) {
        TargetStatus status = target.status(System.nanoTime());
        return status.reason() == TargetStatus.Reason.COLD
                ? Duration.ofMillis(status.waitMillis())
                : DEFAULT_RETRY_DELAY;
    }

    /** Ends an attempt whose target does not respond, so that the memory reserved for it on other engines is freed. */
    private void targetUnresponsive(Assignment unresponsive) {
        if (unresponsive == assignment && response != null) {
            unresponsive.target().recovery().recordNoResponse(System.nanoTime());
            exchangeBroken(response, true, "the engine does not respond");
        }
    }

    /**
     * Moves the request from a stalled target to another one. If there is no other target, keeps waiting, since the
     * stalled target may only be slow.
     */
    private void stalled() {
        stallTimer = null;
        if (isFinished || !mayRetry(false)) {
            return;
        }
        TargetRuntime stalledTarget = assignment.target();
        excludedTargets.add(stalledTarget);
        Either<Failure, Assignment> other = pickTarget(System.nanoTime());
        if (other.isLeft()) {
            logSlowOnce(other.getLeft());
            excludedTargets.remove(stalledTarget);
            startStallTimer(STALL_RECHECK_MILLIS);
            return;
        }
        if (!takeRetryBudget()) {
            other.get().release();
            excludedTargets.remove(stalledTarget);
            startStallTimer(STALL_RECHECK_MILLIS);
            return;
        }
        log.attemptEvent(
                assignment,
                attempts,
                "attempt.stalled",
                "no progress; retrying at " + other.get().target().instance().id());
        stalledTarget.recovery().recordNoResponse(System.nanoTime());
        context.crashes().attemptBroken(stalledTarget, traits);
        mayHaveRun = true;
        cancelExchange();
        endAttempt();
        prepare(other.get());
    }

    /** Logs only the first time, as the search for another target is repeated while the current one sends nothing. */
    private void logSlowOnce(Failure failure) {
        if (!isSlowLogged) {
            isSlowLogged = true;
            log.attemptEvent(
                    assignment, attempts, "attempt.slow", "silent, but there is no other target: " + failure.message());
        }
    }

    private void retryOrElse(Runnable otherwise, boolean isNotRun) {
        if (mayRetry(isNotRun) && takeRetryBudget()) {
            context.metrics().count("retries");
            startAttempt();
        } else {
            otherwise.run();
        }
    }

    /** Returns the engine that an error response names as its cause, unless that is the engine that sent it. */
    private Optional<TargetRuntime> failedDependency(TargetResponseHead head) {
        return head.failedDependency().flatMap(context.targetAt()).filter(engine -> engine != assignment.target());
    }

    /** Returns whether route, progress and remaining time allow another attempt; the retry budget is not checked. */
    private boolean mayRetry(boolean isNotRun) {
        boolean isAllowed = (isNotRun && !mayHaveRun) || request.route().isRetryable();
        boolean canContinue = !relay.hasStarted() || (request.route().isResumable() && relay.canContinue());
        return isAllowed
                && canContinue
                && attempts < request.route().maxAttempts()
                && request.remainingMillis(System.nanoTime()) >= MIN_ATTEMPT_MILLIS;
    }

    private boolean takeRetryBudget() {
        boolean isGranted = context.budgets().apply(request.service().name()).tryAcquire();
        if (!isGranted) {
            context.metrics().count("retries_denied");
        }
        return isGranted;
    }

    private void deadlineReached() {
        breakOff(Failure.of(ErrorKind.DEADLINE_EXCEEDED)
                .message("no answer within the time limit")
                .outcome(Outcome.UNKNOWN)
                .build());
    }

    /** Ends the request because its process is about to end: with an answer, unless a stream has begun. */
    void processEnds() {
        breakOff(Failure.of(ErrorKind.STOPPING)
                .message("this entry stopped before the request was answered")
                .retryAfter(DEFAULT_RETRY_DELAY)
                .build());
    }

    private void breakOff(Failure failure) {
        if (isFinished) {
            return;
        }
        boolean isRunning = exchange != null || mayHaveRun;
        if (exchange != null) {
            context.crashes().attemptBroken(assignment.target(), traits);
        }
        cancelExchange();
        endAttempt();
        mayHaveRun |= isRunning;
        fail(failure);
    }

    private void callerDisconnected() {
        if (isFinished) {
            return;
        }
        cancelExchange();
        endAttempt();
        finish(ErrorKind.CANCELLED.httpStatus(), "caller left");
    }

    /** Ends the request with a failure of the gateway, or aborts a response that has started. */
    private void fail(Failure failure) {
        if (isFinished) {
            return;
        }
        if (relay.hasStarted()) {
            sink.abort();
            finish(ErrorKind.TARGET_FAILED.httpStatus(), "stream aborted: " + failure.message());
            return;
        }
        Failure sent = failure;
        if (mayHaveRun && failure.outcome() == Outcome.NOT_RUN) {
            sent = FailureResponder.unknownOutcome(failure.message());
        }
        context.metrics().count("failures;kind=" + failure.kind().code());
        FailureResponder.send(context.dialect(), sink, sent, request.remainingMillis(System.nanoTime()));
        finish(sent.kind().httpStatus(), sent.message());
    }

    private void cancelExchange() {
        if (exchange != null) {
            exchange.cancel();
            exchange = null;
        }
    }

    private void endAttempt() {
        if (stallTimer != null) {
            stallTimer.cancel(false);
            stallTimer = null;
        }
        if (assignment != null) {
            assignment.release();
        }
        if (response != null) {
            response.ignore();
            response = null;
        }
    }

    /** Restarts the stall timer with the given time in milliseconds; routes without retries have no stall timer. */
    private void startStallTimer(double millis) {
        if (stallTimer != null) {
            stallTimer.cancel(false);
        }
        stallTimer = request.route().isRetryable()
                ? context.loop().schedule(this::stalled, (long) millis, TimeUnit.MILLISECONDS)
                : null;
    }

    private void finish(int status, String reason) {
        isFinished = true;
        endAttempt();
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        int connectionRequests = exchange == null ? 0 : exchange.connectionRequests();
        log.requestDone(status, reason, assignment, attempts, connectionRequests, firstMillis);
        whenFinished.run();
    }
}
