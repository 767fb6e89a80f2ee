package io.endiveshed.gateway.internal;

import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.freshness.Freshness;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.ObjectFeed;
import io.endiveshed.ports.platform.StoreError;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Follows the objects of one kind: lists them, then watches for changes, and lists again when history is gone.
 *
 * <p>Confined to one event loop. The knowledge counts as confirmed from before the call that succeeded, because a watch
 * that waits on a silent connection confirms nothing.
 */
final class FeedFollower<T> {
    /** First pause after a failed call; doubles up to the maximum. */
    private static final long FIRST_RETRY_MILLIS = 50;

    /** Longest pause after a failed call; bounds how late the return of the store is noticed. */
    private static final long MAX_RETRY_MILLIS = 400;

    /** Pause after a watch that returned at once without events, against a store that answers each call so. */
    private static final long EMPTY_WATCH_PAUSE_MILLIS = 100;

    private final String name;
    private final ObjectFeed<T> feed;
    private final Duration wait;
    private final EventLoop loop;
    private final Supplier<ClockReading> clock;
    private final EventLog log;
    private final Listener<T> listener;
    private long version = -1;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private Freshness freshness = Freshness.NEVER;
    private boolean lost;
    private boolean stopped;

    FeedFollower(
            String name,
            ObjectFeed<T> feed,
            Duration wait,
            EventLoop loop,
            Supplier<ClockReading> clock,
            EventLog log,
            Listener<T> listener) {
        this.name = name;
        this.feed = feed;
        this.wait = wait;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.listener = listener;
    }

    void start() {
        loop.execute(this::next);
    }

    void stop() {
        stopped = true;
    }

    /** Returns how old the knowledge is, in milliseconds. */
    long ageMillis() {
        return freshness.ageMillis(clock.get());
    }

    private void next() {
        if (stopped) {
            return;
        }
        ClockReading start = clock.get();
        if (version < 0) {
            feed.list().thenAccept(result -> loop.execute(() -> done(start, result, listener::listed)));
        } else {
            feed.watch(version, wait).thenAccept(result -> loop.execute(() -> done(start, result, listener::changed)));
        }
    }

    private void done(ClockReading start, Either<StoreError, FeedBatch<T>> result, Consumer<FeedBatch<T>> apply) {
        if (stopped) {
            return;
        }
        if (result.isLeft()) {
            failed(result.getLeft());
            return;
        }
        FeedBatch<T> batch = result.get();
        boolean watched = version >= 0;
        version = Math.max(version, batch.upTo());
        retryMillis = FIRST_RETRY_MILLIS;
        freshness = Freshness.confirmedAt(start);
        if (lost) {
            lost = false;
            log.change("store.regained")
                    .with("feed", name)
                    .with("version", version)
                    .write();
            listener.regained();
        }
        apply.accept(batch);
        boolean early =
                watched && batch.events().isEmpty() && start.millisUntil(clock.get()) < EMPTY_WATCH_PAUSE_MILLIS;
        if (early) {
            loop.schedule(this::next, EMPTY_WATCH_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            next();
        }
    }

    private void failed(StoreError error) {
        if (error == StoreError.TOO_OLD) {
            log.change("store.history-gone")
                    .with("feed", name)
                    .with("version", version)
                    .write();
            version = -1;
            next();
            return;
        }
        if (!lost) {
            lost = true;
            log.change("store.lost")
                    .with("feed", name)
                    .with("error", error)
                    .with("version", version)
                    .with("age_ms", ageMillis())
                    .write();
        }
        loop.schedule(this::next, retryMillis, TimeUnit.MILLISECONDS);
        retryMillis = Math.min(MAX_RETRY_MILLIS, retryMillis * 2);
    }

    /** Hears of what a follower reads. */
    interface Listener<T> {
        /** All objects of the kind; others do not exist. */
        void listed(FeedBatch<T> batch);

        /** Objects that changed. */
        void changed(FeedBatch<T> batch);

        /** The store answers again after it had failed. */
        void regained();
    }
}
