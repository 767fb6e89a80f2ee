package io.endiveshed.net.platform;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.time.Scheduler;
import io.endiveshed.net.platform.internal.BudgetedStore;
import io.endiveshed.ports.platform.InstanceList;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.ports.platform.StoreError;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.NanoClock;

/**
 * The calls to the platform that one process may make, shared by all its uses.
 *
 * <p>A token bucket bounds the rate; a less urgent use leaves part of the bucket to more urgent ones. After a refusal
 * the process sends nothing for a jittered time that doubles with each further refusal; then one call probes. The
 * bucket starts empty after a refusal, so that many processes that see the store again do not send bursts. Calls that
 * are not sent complete with {@link StoreError#BUDGET_SPENT}.
 *
 * <pre>{@code
 * StoreBudget budget = new StoreBudget(scheduler, random, metrics, StoreBudget.DEFAULT_RATE, StoreBudget.DEFAULT_BURST);
 * ObjectStore claims = budget.store(platform, StoreUse.CLAIMS);
 * }</pre>
 */
public final class StoreBudget {
    /** Calls per second; 390 entries at this rate stay below the store's 2,000 calls per second. */
    public static final double DEFAULT_RATE = 4.0;

    /** Calls that may follow each other at once; a cold start reads up to 256 configuration pieces at the rate. */
    public static final int DEFAULT_BURST = 40;

    /** First pause after a refusal. */
    public static final Duration MIN_BACKOFF = Duration.ofMillis(200);

    /** Longest pause; the end of an outage is noticed within this time. */
    public static final Duration MAX_BACKOFF = Duration.ofSeconds(8);

    private static final double NANOS_PER_SECOND = 1e9;

    private final NanoClock clock;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final double ratePerSecond;
    private final int burst;
    private double tokens;
    private long refilledAt;
    private long pausedUntil;
    private long backoffNanos;
    private boolean paused;
    private boolean probing;

    /** Makes a full bucket. */
    public StoreBudget(
            Scheduler scheduler, RandomGenerator random, MetricRegistry metrics, double ratePerSecond, int burst) {
        this.clock = Objects.requireNonNull(scheduler);
        this.random = Objects.requireNonNull(random);
        this.metrics = Objects.requireNonNull(metrics);
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.refilledAt = clock.nanoTime();
    }

    /** Returns a store whose calls count against this budget. */
    public ObjectStore store(ObjectStore store, StoreUse use) {
        return new BudgetedStore(store, this, use);
    }

    /** Returns a list of instances whose calls count against this budget. */
    public InstanceList instances(InstanceList list) {
        return () -> call(StoreUse.INSTANCES, list::instances);
    }

    /** Tells whether the last call that was answered found the store available. */
    public synchronized boolean isStoreAvailable() {
        return !paused;
    }

    /** Makes a call that the store answers at once, if the budget allows it. */
    public <T> CompletionStage<Either<StoreError, T>> call(
            StoreUse use, Supplier<CompletionStage<Either<StoreError, T>>> call) {
        return call(use, true, call);
    }

    /**
     * Makes a call that waits in the store, if the budget allows it. It is never the probe after a refusal, because
     * other uses would be held back until the wait is over.
     */
    public <T> CompletionStage<Either<StoreError, T>> waitingCall(
            StoreUse use, Supplier<CompletionStage<Either<StoreError, T>>> call) {
        return call(use, false, call);
    }

    private <T> CompletionStage<Either<StoreError, T>> call(
            StoreUse use, boolean mayProbe, Supplier<CompletionStage<Either<StoreError, T>>> call) {
        if (!acquire(use, mayProbe)) {
            metrics.counter("store.refused." + use.metric()).inc();
            return CompletableFuture.completedFuture(Either.left(StoreError.BUDGET_SPENT));
        }
        metrics.counter("store.calls." + use.metric()).inc();
        return call.get().thenApply(result -> {
            record(use, result);
            return result;
        });
    }

    private synchronized boolean acquire(StoreUse use, boolean mayProbe) {
        long now = clock.nanoTime();
        if (paused) {
            if (!mayProbe || probing || now < pausedUntil) {
                return false;
            }
            probing = true;
            return true;
        }
        tokens = Math.min(burst, tokens + (now - refilledAt) / NANOS_PER_SECOND * ratePerSecond);
        refilledAt = now;
        if (tokens < 1 + use.reserve() * burst) {
            return false;
        }
        tokens--;
        return true;
    }

    private synchronized void record(StoreUse use, Either<StoreError, ?> result) {
        boolean refused = result.isLeft()
                && (result.getLeft() == StoreError.UNAVAILABLE || result.getLeft() == StoreError.UNKNOWN);
        if (!refused) {
            resume();
            return;
        }
        metrics.counter("store.failed." + use.metric()).inc();
        pause();
    }

    private void resume() {
        if (paused) {
            paused = false;
            probing = false;
            tokens = 0;
            refilledAt = clock.nanoTime();
        }
        backoffNanos = 0;
    }

    /** Failures of calls that were sent before the pause began do not lengthen it. */
    private void pause() {
        if (paused && !probing) {
            return;
        }
        paused = true;
        probing = false;
        backoffNanos = Math.min(MAX_BACKOFF.toNanos(), Math.max(MIN_BACKOFF.toNanos(), backoffNanos * 2));
        pausedUntil = clock.nanoTime() + backoffNanos / 2 + random.nextLong(backoffNanos / 2 + 1);
    }
}
