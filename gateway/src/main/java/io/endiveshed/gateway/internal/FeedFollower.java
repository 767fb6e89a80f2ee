package io.endiveshed.gateway.internal;

import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.freshness.Freshness;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.ObjectFeed;
import io.endiveshed.ports.platform.StoreEra;
import io.endiveshed.ports.platform.StoreError;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Follows the store's objects of one kind: lists them, watches for changes, and lists them again when the store no
 * longer keeps the changes since the last known version.
 *
 * <p>Confined to one event loop. The objects count as confirmed at the start of the call that succeeded, not at its
 * end, because a watch that waits on a dead connection confirms nothing.
 */
final class FeedFollower<T> {
    /** First delay after a failed call; it doubles with each failure up to the maximum. */
    private static final long FIRST_RETRY_MILLIS = 50;

    /** Maximum delay after a failed call; limits how late the recovery of the store is noticed. */
    private static final long MAX_RETRY_MILLIS = 400;

    /**
     * Delay after a watch that returned sooner than this without events; limits the call rate against a store that
     * returns every watch at once.
     */
    private static final long EMPTY_WATCH_DELAY_MILLIS = 100;

    /**
     * Wait of a watch after a failed call. A longer one would wait out its time on a connection that is still cut, and
     * the recovery of the store would be noticed that much later.
     */
    private static final Duration PROBE_WAIT = Duration.ofMillis(50);

    private final String name;
    private final ObjectFeed<T> feed;
    private final Pace pace;
    private final EventLoop loop;
    private final Supplier<ClockReading> clock;
    private final EventLog log;
    private final Listener<T> listener;
    private long version = -1;
    private StoreEra era;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private Freshness freshness = Freshness.NEVER;
    private ClockReading lastFailureStart;
    private boolean isStoreLost;
    private boolean isStopped;

    FeedFollower(
            String name,
            ObjectFeed<T> feed,
            Pace pace,
            EventLoop loop,
            Supplier<ClockReading> clock,
            EventLog log,
            Listener<T> listener) {
        this.name = name;
        this.feed = feed;
        this.pace = pace;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.listener = listener;
    }

    void start() {
        loop.execute(this::requestNext);
    }

    void stop() {
        isStopped = true;
    }

    /** Returns the time in milliseconds since the objects were last confirmed. */
    long ageMillis() {
        return freshness.ageMillis(clock.get());
    }

    /** Lists the objects if no version is known, otherwise watches for changes after it. */
    private void requestNext() {
        if (isStopped) {
            return;
        }
        ClockReading start = clock.get();
        if (version < 0) {
            feed.list().thenAccept(result -> loop.execute(() -> handleResult(start, result, listener::listed)));
        } else {
            feed.watch(version, isStoreLost ? PROBE_WAIT : pace.watchTimeout())
                    .thenAccept(result -> loop.execute(() -> handleResult(start, result, listener::changed)));
        }
    }

    private void handleResult(
            ClockReading start, Either<StoreError, FeedBatch<T>> result, Consumer<FeedBatch<T>> apply) {
        if (isStopped) {
            return;
        }
        if (result.isLeft()) {
            handleError(start, result.getLeft());
            return;
        }
        FeedBatch<T> batch = result.get();
        boolean isWatch = version >= 0;
        if (era != null && !era.equals(batch.era())) {
            log.change("store.restored")
                    .with("feed", name)
                    .with("era", batch.era())
                    .with("era_before", era)
                    .with("version", batch.upTo())
                    .with("version_before", version)
                    .with("age_ms", ageMillis())
                    .write();
        }
        era = batch.era();
        version = Math.max(version, batch.upTo());
        retryMillis = FIRST_RETRY_MILLIS;
        if (isStoreLost) {
            isStoreLost = false;
            log.change("store.regained")
                    .with("feed", name)
                    .with("version", version)
                    .with("age_ms", ageMillis())
                    .write();
            listener.storeRegained(lastFailureStart);
        }
        freshness = Freshness.confirmedAt(start);
        apply.accept(batch);
        long delayMillis = isWatch ? delayAfterWatchMillis(batch, start.millisUntil(clock.get())) : 0;
        if (delayMillis > 0) {
            loop.schedule(this::requestNext, delayMillis, TimeUnit.MILLISECONDS);
        } else {
            requestNext();
        }
    }

    /** Returns the delay in milliseconds before the next watch, after one that took the given time. */
    private long delayAfterWatchMillis(FeedBatch<T> batch, long elapsedMillis) {
        if (batch.events().isEmpty()) {
            return elapsedMillis < EMPTY_WATCH_DELAY_MILLIS ? EMPTY_WATCH_DELAY_MILLIS : 0;
        }
        return pace.minInterval().toMillis() - elapsedMillis;
    }

    private void handleError(ClockReading start, StoreError error) {
        if (error == StoreError.TOO_OLD) {
            log.change("store.history-gone")
                    .with("feed", name)
                    .with("version", version)
                    .write();
            version = -1;
            requestNext();
            return;
        }
        lastFailureStart = start;
        if (!isStoreLost) {
            isStoreLost = true;
            log.change("store.lost")
                    .with("feed", name)
                    .with("error", error)
                    .with("version", version)
                    .with("age_ms", ageMillis())
                    .write();
        }
        loop.schedule(this::requestNext, retryMillis, TimeUnit.MILLISECONDS);
        retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
    }

    /**
     * Rate at which a follower calls the store.
     *
     * @param watchTimeout maximum duration of a watch in which nothing changes
     * @param minInterval minimum time between the starts of two watches if the first one returned changes. Without it, a
     *     fleet whose objects change one after the other costs one call for each object and follower.
     */
    record Pace(Duration watchTimeout, Duration minInterval) {}

    /** Receives the objects that a follower reads, on the event loop of the follower. */
    interface Listener<T> {
        /** Called with all objects of the kind; objects that are not in the batch do not exist. */
        void listed(FeedBatch<T> batch);

        /** Called with the objects that changed. */
        void changed(FeedBatch<T> batch);

        /**
         * Called when the store responds again after it had failed, before the new batch is passed on.
         *
         * @param lastFailureStart start of the last call that failed
         */
        void storeRegained(ClockReading lastFailureStart);
    }
}
