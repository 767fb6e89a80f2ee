package io.endiveshed.coordination.claim;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.ServiceName;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;

/**
 * Log of the claims of one plain service's non-idempotent calls, shared by all its sidecars through the platform.
 *
 * <pre>{@code
 * log.claim(key, attempt, digest, Duration.ofSeconds(5)).thenAccept(decision -> {
 *     if (decision instanceof ClaimDecision.Granted && log.tryStart(attempt)) {
 *         StoredResponse answer = callTarget();
 *         log.complete(key, attempt, answer);
 *     }
 * });
 * }</pre>
 *
 * <p>Methods may be called by any thread. Stages complete normally, on the thread of the caller, of a timer or of a reply
 * from the store.
 */
public final class ClaimLog {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ClaimSettings settings;
    private final ClaimEnvironment environment;
    private final AttemptGate gate;
    private final List<Partition> partitions;

    /** Makes a log of a service; nothing is read before the first call. */
    public ClaimLog(ServiceName service, ClaimSettings settings, ClaimEnvironment environment) {
        this.settings = settings;
        this.environment = environment;
        this.gate = new AttemptGate(settings.maxStartDelay().toNanos());
        this.partitions = IntStream.range(0, settings.partitions())
                .mapToObj(number -> new Partition(service, number, settings, environment))
                .toList();
    }

    /**
     * Claims a key for an attempt. The call may run only if the decision is {@link ClaimDecision.Granted} and
     * {@link #tryStart} then returns true.
     *
     * @param digest SHA-256 of the request body
     * @param maxWait time after which the decision is {@link ClaimDecision.Unavailable}
     */
    public CompletionStage<ClaimDecision> claim(ClaimKey key, AttemptId attempt, byte[] digest, Duration maxWait) {
        if (!gate.open(attempt, environment.scheduler().nanoTime())) {
            return CompletableFuture.completedFuture(
                    gate.isDropped(attempt)
                            ? new ClaimDecision.Revoked()
                            : new ClaimDecision.Held(attempt, environment.incarnation()));
        }
        environment.scheduler().schedule(ClaimSettings.MIN_RETENTION, () -> gate.forget(attempt));
        ClaimRecord.Claimed record = new ClaimRecord.Claimed(key, attempt, digest, environment.incarnation());
        return partition(key)
                .submit(record, maxWait, new ClaimDecision.Unavailable(timedOut(maxWait)))
                .thenApply(effect -> decided(attempt, (ClaimDecision) effect));
    }

    /** Closes the gate of an attempt that was refused, so that it cannot be started by mistake. */
    private ClaimDecision decided(AttemptId attempt, ClaimDecision decision) {
        if (!(decision instanceof ClaimDecision.Granted)) {
            gate.tryDrop(attempt);
        }
        return decision;
    }

    /**
     * Tells whether a granted call may be sent to the target now; true at most once for each attempt. If it is false,
     * the attempt was revoked or is too old, and {@link #tryDrop} gives the claim back.
     */
    public boolean tryStart(AttemptId attempt) {
        return gate.tryStart(attempt, environment.scheduler().nanoTime());
    }

    /**
     * Drops a call that has not been started and gives its claim back. Completes no stage before it returns.
     *
     * @return true if the attempt has not run and never will
     */
    public boolean tryDrop(ClaimKey key, AttemptId attempt) {
        boolean dropped = gate.tryDrop(attempt);
        if (dropped) {
            // On a timer's thread, so that callers may hold a lock that the stages of this log need.
            environment.scheduler().schedule(Duration.ZERO, () -> release(key, attempt));
        }
        return dropped;
    }

    /** Gives back the claim of a call that is proved not to have reached the target. */
    public void release(ClaimKey key, AttemptId attempt) {
        partition(key).release(new ClaimRecord.Released(key, attempt), new ClaimDecision.Revoked());
    }

    /**
     * Makes sure that an attempt never runs, if that is still possible.
     *
     * @param maxWait time after which the outcome is {@link RevokeOutcome#UNKNOWN}
     */
    public CompletionStage<RevokeOutcome> revoke(ClaimKey key, AttemptId attempt, Duration maxWait) {
        if (tryDrop(key, attempt)) {
            return CompletableFuture.completedFuture(RevokeOutcome.REVOKED);
        }
        return partition(key)
                .submit(new ClaimRecord.Revoked(key, attempt), maxWait, RevokeOutcome.UNKNOWN)
                .thenApply(RevokeOutcome.class::cast);
    }

    /** Records the answer of a call that ran; the stage completes when it is in the log. */
    public CompletionStage<Void> complete(ClaimKey key, AttemptId attempt, StoredResponse answer) {
        StoredResponse kept = answer.within(settings.maxAnswerBytes());
        return partition(key)
                .submit(new ClaimRecord.Completed(key, attempt, kept))
                .thenAccept(noted -> gate.forget(attempt));
    }

    /** Reads what the log knows of a key: its answer, the attempt that holds it, or nothing. */
    public CompletionStage<Optional<ClaimDecision>> lookup(ClaimKey key, Duration maxWait) {
        return partition(key)
                .lookup(key, maxWait)
                .thenApply(found -> found.map(claim -> claim.response()
                        .<ClaimDecision>map(ClaimDecision.Completed::new)
                        .orElseGet(() -> new ClaimDecision.Held(claim.attempt(), claim.holder()))));
    }

    private Partition partition(ClaimKey key) {
        return partitions.get(key.partitionNumber(partitions.size()));
    }

    private static Failure timedOut(Duration maxWait) {
        return Failure.of(ErrorKind.STORE_UNAVAILABLE)
                .message("no claim within " + maxWait.toMillis() + " ms")
                .retryAfter(RETRY_AFTER)
                .build();
    }
}
