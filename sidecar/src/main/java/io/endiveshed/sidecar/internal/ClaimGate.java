package io.endiveshed.sidecar.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.IdempotencyKey;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.coordination.claim.ClaimDecision;
import io.endiveshed.coordination.claim.ClaimKey;
import io.endiveshed.coordination.claim.ClaimLog;
import io.endiveshed.coordination.claim.RevokeOutcome;
import io.endiveshed.coordination.claim.StoredResponse;
import io.endiveshed.net.link.Link;
import io.endiveshed.protocol.Header;
import io.endiveshed.protocol.Message;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.agrona.concurrent.NanoClock;

/**
 * Admits calls with an idempotency key to a plain service only once the claim log grants their claim, and answers
 * {@link Message.Revoke}. Calls without a key pass at once.
 */
public final class ClaimGate {
    /** Largest response body, in bytes, that the claim log stores for repetitions of its key. */
    static final int MAX_STORED_BODY_BYTES = 16 * 1024;

    /**
     * Longest wait for the claim log. A call whose deadline is later is refused after this wait, so that its caller can
     * retry.
     */
    private static final Duration MAX_CLAIM_WAIT = Duration.ofSeconds(5);

    private static final Duration RETRY_AFTER_WHILE_HELD = Duration.ofSeconds(2);

    private final ServiceName service;
    private final ClaimLog log;
    private final NanoClock clock;
    private final Counter granted;
    private final Counter repeated;
    private final Counter refused;
    private final AtomicInteger pendingWrites = new AtomicInteger();

    /** Creates the gate for the calls of one service; it counts claims as {@code sidecar.claims_<decision>}. */
    public ClaimGate(ServiceName service, ClaimLog log, NanoClock clock, MetricRegistry metrics) {
        this.granted = metrics.counter("sidecar.claims_granted");
        this.repeated = metrics.counter("sidecar.claims_repeated");
        this.refused = metrics.counter("sidecar.claims_refused");
        this.service = service;
        this.log = log;
        this.clock = clock;
    }

    /** Returns the guard of a dispatched call. */
    ExecutionGuard guard(Message.Dispatch dispatch) {
        if (dispatch.idempotencyKey().isEmpty()) {
            return ExecutionGuard.PERMIT_ALL;
        }
        long deadlineNanos = clock.nanoTime() + dispatch.remainingMillis() * 1_000_000;
        return new ClaimGuard(
                this, log, claimKey(dispatch.account(), dispatch.idempotencyKey()), dispatch.attempt(), deadlineNanos);
    }

    /**
     * Admits a call whose body is complete: runs {@code enqueue} once the claim is granted; otherwise answers the call
     * with the stored response or fails it. Calls without a key are enqueued at once.
     */
    void admit(TargetCall call, Runnable enqueue) {
        Message.Dispatch dispatch = call.dispatch();
        if (!(call.guard() instanceof ClaimGuard guard)) {
            enqueue.run();
            return;
        }
        Duration maxWait = Duration.ofMillis(Math.min(MAX_CLAIM_WAIT.toMillis(), dispatch.remainingMillis()));
        log.claim(
                        claimKey(dispatch.account(), dispatch.idempotencyKey()),
                        dispatch.attempt(),
                        digestOf(dispatch),
                        maxWait)
                .thenAccept(decision -> applyDecision(call, guard, decision, enqueue));
    }

    /** Revokes an attempt in the claim log and sends its outcome to the entry on the link. */
    void revoke(Link link, Message.Revoke revoke) {
        log.revoke(claimKey(revoke.account(), revoke.idempotencyKey()), revoke.attempt(), MAX_CLAIM_WAIT)
                .thenAccept(outcome -> link.send(new Message.RevokeResult(revoke.attempt(), outcomeOf(outcome))));
    }

    /** Returns whether no write of a response to the claim log is pending. */
    boolean isIdle() {
        return pendingWrites.get() == 0;
    }

    NanoClock clock() {
        return clock;
    }

    /** Counts a write of a response as pending until the stage completes. */
    void trackWrite(CompletionStage<Void> written) {
        pendingWrites.incrementAndGet();
        written.thenRun(pendingWrites::decrementAndGet);
    }

    private void applyDecision(TargetCall call, ClaimGuard guard, ClaimDecision decision, Runnable enqueue) {
        if (decision instanceof ClaimDecision.Granted) {
            granted.inc();
            enqueue.run();
            return;
        }
        guard.markRefused();
        if (decision instanceof ClaimDecision.Completed completed) {
            repeated.inc();
            sendStoredResponse(call, completed.response());
        } else {
            refused.inc();
            // The deadline is the reason for the missing decision then, and not the store.
            boolean outOfTime = decision instanceof ClaimDecision.Unavailable && guard.isOverdue();
            call.fail(outOfTime ? deadlineExceeded(call) : failureOf(decision));
        }
    }

    private static void sendStoredResponse(TargetCall call, StoredResponse response) {
        if (!response.isBodyStored()) {
            call.fail(Failure.of(ErrorKind.TARGET_FAILED)
                    .message("the call ran with status " + response.status()
                            + ", but its response was too long to be stored")
                    .remedy("do not repeat the call; read its result from the service")
                    .outcome(Outcome.COMPLETED)
                    .build());
            return;
        }
        List<Header> headers = response.headers().stream()
                .map(field -> new Header(field.name(), field.value()))
                .toList();
        call.respondWith(response.status(), headers, response.body());
    }

    private static Failure deadlineExceeded(TargetCall call) {
        return Failure.of(ErrorKind.DEADLINE_EXCEEDED)
                .message("no complete response within " + call.dispatch().remainingMillis() + " ms")
                .build();
    }

    private static Failure failureOf(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Unavailable unavailable) {
            return unavailable.failure();
        }
        if (decision instanceof ClaimDecision.Held held) {
            return Failure.of(ErrorKind.CALL_IN_PROGRESS)
                    .message("attempt " + held.attempt()
                            + " holds the idempotency key; it is running, or its outcome is unknown")
                    .outcome(Outcome.UNKNOWN)
                    .retryAfter(RETRY_AFTER_WHILE_HELD)
                    .build();
        }
        if (decision instanceof ClaimDecision.DigestMismatch) {
            return Failure.of(ErrorKind.IDEMPOTENCY_KEY_REUSED)
                    .message("the idempotency key was already used for a call with another method, path or body")
                    .build();
        }
        return Failure.of(ErrorKind.CANCELLED)
                .message("the attempt was revoked before it could run")
                .build();
    }

    private ClaimKey claimKey(String account, String idempotencyKey) {
        return new ClaimKey(new ClientAccountId(account), service, new IdempotencyKey(idempotencyKey));
    }

    private static Outcome outcomeOf(RevokeOutcome outcome) {
        return switch (outcome) {
            case REVOKED -> Outcome.NOT_RUN;
            case COMPLETED -> Outcome.COMPLETED;
            case UNKNOWN -> Outcome.UNKNOWN;
        };
    }

    /** Returns the SHA-256 of method, path and body, because a key belongs to one call and not only to one body. */
    private static byte[] digestOf(Message.Dispatch dispatch) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((dispatch.method() + " " + dispatch.path() + "\n").getBytes(StandardCharsets.UTF_8));
            return digest.digest(dispatch.bodyDigest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java runtime", e);
        }
    }
}
