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
 * Limits the calls of one process to the platform, over all purposes. Safe for use by several threads.
 *
 * <p>A token bucket bounds the rate; calls of a less urgent purpose leave part of the bucket to more urgent ones. After
 * a call fails because the store is unavailable or its reply is lost, the process sends no calls for a jittered
 * backoff, which doubles with each further failure. Then a single call tests whether the store is available. When it
 * is, the bucket starts empty, so that many processes that reach the store again at one time do not send bursts. Calls
 * that are not sent complete with {@link StoreError#BUDGET_SPENT}.
 *
 * <pre>{@code
 * StoreBudget budget =
 *         new StoreBudget(scheduler, random, metrics, StoreBudget.DEFAULT_RATE, StoreBudget.DEFAULT_BURST);
 * ObjectStore claims = budget.store(platform, StoreUse.CLAIMS);
 * }</pre>
 */
public final class StoreBudget {
    /**
     * Default rate in calls per second; 390 entry daemons at this rate stay below the store's 2,000 calls per second.
     */
    public static final double DEFAULT_RATE = 4.0;

    /**
     * Default burst: calls that may be sent without delay. A cold start reads up to 256 configuration pieces at the
     * default rate.
     */
    public static final int DEFAULT_BURST = 40;

    /** Backoff after the first failure, before jitter. */
    public static final Duration MIN_BACKOFF = Duration.ofMillis(200);

    /** Maximum backoff; the end of an outage is detected within this time. */
    public static final Duration MAX_BACKOFF = Duration.ofSeconds(8);

    private static final double NANOS_PER_SECOND = 1e9;

    private final NanoClock clock;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final double ratePerSecond;
    private final int burst;
    private double tokens;
    private long refilledAtNanos;
    private long pausedUntilNanos;
    private long backoffNanos;
    private boolean paused;
    private boolean probeInFlight;

    /** Creates a budget whose bucket is full. */
    public StoreBudget(
            Scheduler scheduler, RandomGenerator random, MetricRegistry metrics, double ratePerSecond, int burst) {
        this.clock = Objects.requireNonNull(scheduler);
        this.random = Objects.requireNonNull(random);
        this.metrics = Objects.requireNonNull(metrics);
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.refilledAtNanos = clock.nanoTime();
    }

    /** Returns a store whose calls count against this budget. */
    public ObjectStore store(ObjectStore store, StoreUse use) {
        return new BudgetedStore(store, this, use);
    }

    /** Returns a list of instances whose calls count against this budget. */
    public InstanceList instances(InstanceList list) {
        return () -> call(StoreUse.INSTANCES, list::instances);
    }

    /** Returns whether the store was available at the last completed call; true before the first one. */
    public synchronized boolean isStoreAvailable() {
        return !paused;
    }

    /** Sends a call to which the store responds immediately, if the budget allows it. */
    public <T> CompletionStage<Either<StoreError, T>> call(
            StoreUse use, Supplier<CompletionStage<Either<StoreError, T>>> call) {
        return call(use, true, call);
    }

    /**
     * Sends a call that waits in the store, such as a watch, if the budget allows it. It never tests whether the store
     * is available again, because all other calls would be refused until its wait is over.
     */
    public <T> CompletionStage<Either<StoreError, T>> longPollCall(
            StoreUse use, Supplier<CompletionStage<Either<StoreError, T>>> call) {
        return call(use, false, call);
    }

    private <T> CompletionStage<Either<StoreError, T>> call(
            StoreUse use, boolean mayProbe, Supplier<CompletionStage<Either<StoreError, T>>> call) {
        if (!tryAcquire(use, mayProbe)) {
            metrics.counter("store.refused." + use.metricName()).inc();
            return CompletableFuture.completedFuture(Either.left(StoreError.BUDGET_SPENT));
        }
        metrics.counter("store.calls." + use.metricName()).inc();
        return call.get().thenApply(result -> {
            record(use, result);
            return result;
        });
    }

    private synchronized boolean tryAcquire(StoreUse use, boolean mayProbe) {
        long now = clock.nanoTime();
        if (paused) {
            if (!mayProbe || probeInFlight || now < pausedUntilNanos) {
                return false;
            }
            probeInFlight = true;
            return true;
        }
        tokens = Math.min(burst, tokens + (now - refilledAtNanos) / NANOS_PER_SECOND * ratePerSecond);
        refilledAtNanos = now;
        if (tokens < 1 + use.reservedShare() * burst) {
            return false;
        }
        tokens--;
        return true;
    }

    private synchronized void record(StoreUse use, Either<StoreError, ?> result) {
        boolean failed = result.isLeft()
                && (result.getLeft() == StoreError.UNAVAILABLE || result.getLeft() == StoreError.UNKNOWN);
        if (!failed) {
            endPause();
            return;
        }
        metrics.counter("store.failed." + use.metricName()).inc();
        startPause();
    }

    private void endPause() {
        if (paused) {
            paused = false;
            probeInFlight = false;
            tokens = 0;
            refilledAtNanos = clock.nanoTime();
        }
        backoffNanos = 0;
    }

    /** Starts or extends the pause. A failure of a call that was sent before the pause started does not extend it. */
    private void startPause() {
        if (paused && !probeInFlight) {
            return;
        }
        paused = true;
        probeInFlight = false;
        backoffNanos = Math.min(MAX_BACKOFF.toNanos(), Math.max(MIN_BACKOFF.toNanos(), backoffNanos * 2));
        pausedUntilNanos = clock.nanoTime() + backoffNanos / 2 + random.nextLong(backoffNanos / 2 + 1);
    }
}
