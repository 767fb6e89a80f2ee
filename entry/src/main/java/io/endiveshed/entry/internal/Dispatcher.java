package io.endiveshed.entry.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.coordination.routing.RoutingRequest;
import io.endiveshed.coordination.routing.TargetSelector;
import io.endiveshed.net.http.ErrorResponses;
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
import java.util.random.RandomGenerator;

/** Sends requests to targets and their answers to callers. */
public final class Dispatcher implements CallMessages {
    private static final Duration RETRY_WITHOUT_TARGET = Duration.ofSeconds(2);
    private static final byte[] NO_DIGEST = new byte[0];

    private final SidecarLinks sidecars;
    private final Blackboard blackboard;
    private final TargetSelector selector;
    private final RandomGenerator random;
    private final ScheduledExecutorService timers;
    private final Map<AttemptId, Call> calls = new ConcurrentHashMap<>();

    /** Makes a dispatcher. */
    public Dispatcher(
            SidecarLinks sidecars,
            Blackboard blackboard,
            TargetSelector selector,
            RandomGenerator random,
            ScheduledExecutorService timers) {
        this.sidecars = sidecars;
        this.blackboard = blackboard;
        this.selector = selector;
        this.random = random;
        this.timers = timers;
    }

    /** Sends a request to a target, or refuses it at once. */
    void dispatch(CallPlan plan, ResponseSink response) {
        RoutingRequest routing = plan.routing();
        List<TargetView> serving = blackboard.fleet().read().serving(routing.kind(), routing.name());
        Optional<TargetView> chosen = selector.select(routing, serving);
        Optional<Link> link = chosen.flatMap(target -> sidecars.link(target.id(), plan.body().length));
        if (link.isEmpty()) {
            ErrorResponses.send(response, noTarget(routing));
            return;
        }
        send(plan, response, chosen.get().id(), link.get());
    }

    @Override
    public void received(TargetId target, Message message) {
        if (message instanceof Message.ResponseHead head) {
            Optional.ofNullable(calls.get(head.attempt())).ifPresent(call -> call.head(head));
        } else if (message instanceof Message.BodyChunk chunk) {
            Optional.ofNullable(calls.get(chunk.attempt())).ifPresent(call -> call.chunk(chunk));
        } else if (message instanceof Message.AttemptFailed failed) {
            Optional.ofNullable(calls.get(failed.attempt())).ifPresent(call -> call.fail(failure(failed)));
        }
    }

    @Override
    public void linkClosed(TargetId target) {
        calls.values().stream()
                .filter(call -> call.target().equals(target))
                .forEach(call -> call.fail(Failure.of(ErrorKind.LINK_LOST)
                        .message("the link to target " + target.instance() + " was lost")
                        .outcome(Outcome.UNKNOWN)
                        .build()));
    }

    private void send(CallPlan plan, ResponseSink response, TargetId target, Link link) {
        AttemptId attempt = new AttemptId(RequestId.random(random), 1);
        Call call = new Call(plan, response, attempt, target, link, () -> forget(attempt, target));
        calls.put(attempt, call);
        sidecars.addOutstanding(target, 1);
        call.timer(timers.schedule(
                () -> call.cancel(deadlineExceeded(plan)), plan.deadlineMillis(), TimeUnit.MILLISECONDS));
        response.onDisconnect(() -> call.cancel(callerGone()));
        link.send(dispatchMessage(plan, attempt, target));
        new BodySender(link, attempt, plan.body()).send();
    }

    private void forget(AttemptId attempt, TargetId target) {
        calls.remove(attempt);
        sidecars.addOutstanding(target, -1);
    }

    private Message.Dispatch dispatchMessage(CallPlan plan, AttemptId attempt, TargetId target) {
        return new Message.Dispatch(
                attempt,
                target.incarnation(),
                plan.deadlineMillis(),
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

    private static Failure failure(Message.AttemptFailed failed) {
        Failure.Builder failure =
                Failure.of(failed.kind()).message(failed.message()).outcome(failed.outcome());
        if (failed.retryAfterMillis() > 0) {
            failure.retryAfter(Duration.ofMillis(failed.retryAfterMillis()));
        }
        return failure.build();
    }

    private static Failure noTarget(RoutingRequest routing) {
        return Failure.of(ErrorKind.NO_TARGET)
                .message("no live target serves " + routing.name())
                .retryAfter(RETRY_WITHOUT_TARGET)
                .build();
    }

    private static Failure deadlineExceeded(CallPlan plan) {
        return Failure.of(ErrorKind.DEADLINE_EXCEEDED)
                .message("no whole answer within " + plan.deadlineMillis() + " ms")
                .outcome(Outcome.UNKNOWN)
                .build();
    }

    private static Failure callerGone() {
        return Failure.of(ErrorKind.CANCELLED).outcome(Outcome.UNKNOWN).build();
    }
}
