package io.endiveshed.gateway.internal;

import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.freshness.Freshness;
import io.endiveshed.coordination.sharing.FeedChanges;
import io.endiveshed.coordination.sharing.FeedReport;
import io.endiveshed.coordination.sharing.SharedFeed;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.ObjectFeed;
import io.endiveshed.ports.platform.StoreEra;
import io.endiveshed.ports.platform.StoreError;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Follows the store's objects of one kind: lists them, watches for changes, and lists them again when the store no
 * longer keeps the changes since the last known version, when these take more than a list, or when the store has come
 * back from an older copy. Versions are given out again then, so a watch from one of a former era may miss changes.
 *
 * <p>Confined to one event loop. The objects count as confirmed at the start of the call that succeeded, not at its
 * end, because a watch that waits on a dead connection confirms nothing. What is read from an older copy of the store
 * confirms nothing until the objects have been written again, and nothing is confirmed while the listener has not put
 * all that was read in force.
 */
final class FeedFollower<T> {
    /** First delay after a failed call; it doubles with each failure up to the maximum. */
    private static final long FIRST_RETRY_MILLIS = 50;

    /** Maximum delay after a failed call; limits how late the recovery of the store is noticed. */
    private static final long MAX_RETRY_MILLIS = 400;

    /**
     * Delay after a failed call of a feed for which another one probes the store. It matters only if the store answers this
     * feed and not the other one.
     */
    private static final long PROBED_RETRY_MILLIS = 2_000;

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

    /**
     * Number of calls that fail one after the other in an outage. A single one may have lost a packet, and the entries of
     * running targets do not expire within one call.
     */
    private static final int OUTAGE_FAILURES = 2;

    private final String name;
    private final ObjectFeed<T> feed;
    private final Pace pace;
    private final StoreEras eras;
    private final EventLoop loop;
    private final Supplier<ClockReading> clock;
    private final EventLog log;
    private final Listener<T> listener;
    private final StoreCalls counter;
    private FeedShare share;
    private ClockReading lastCallStart;
    private boolean isCalling;
    private boolean isReadDue;
    private long version = -1;
    private long lastCall;
    private final RestoredCopy copy = new RestoredCopy();
    private long retryMillis = FIRST_RETRY_MILLIS;
    private Freshness freshness = Freshness.NEVER;
    private ClockReading lastFailureStart;
    private boolean isStoreLost;
    private int failuresInARow;
    private final List<FeedFollower<?>> dependents = new ArrayList<>();
    private Optional<FeedFollower<?>> prober = Optional.empty();
    private boolean isStopped;

    FeedFollower(
            String name,
            ObjectFeed<T> feed,
            Pace pace,
            StoreEras eras,
            EventLoop loop,
            Supplier<ClockReading> clock,
            EventLog log,
            Listener<T> listener,
            StoreCalls counter) {
        this.name = name;
        this.feed = feed;
        this.pace = pace;
        this.eras = eras;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.listener = listener;
        this.counter = counter;
        this.share = FeedShare.none(name);
    }

    void start() {
        eras.addListener(this::storeRestored);
        loop.execute(this::requestNext);
    }

    void stop() {
        isStopped = true;
    }

    /** Shares the feed with the other entries of the failure domain; called before the start. */
    void shareThrough(FeedSharing sharing, SharedFeed.Limits limits) {
        share = FeedShare.of(name, sharing, limits);
    }

    String name() {
        return name;
    }

    /** Returns whether the last call failed. */
    boolean isStoreLost() {
        return isStoreLost;
    }

    /** Returns what this entry reports to its peers of the feed. */
    Optional<FeedReport> report(ClockReading now) {
        return share.report(now);
    }

    /** Considers what a peer reports in answer to a question that was sent at the given time. */
    SharedFeed.Verdict receive(FeedReport report, ClockReading asked) {
        ClockReading now = clock.get();
        if (!isStoreLost) {
            // Objects that are missing now may have expired in an outage in which this entry made no call.
            share.newOutage(report, asked, now).ifPresent(listener::storeRegained);
        }
        SharedFeed.Verdict verdict = share.receive(report, asked, now, canRely());
        if (verdict == SharedFeed.Verdict.CONFIRMED) {
            freshness = freshness.newer(share.confirmedByPeers().confirmed(), now);
        } else if (verdict == SharedFeed.Verdict.READ) {
            readSoon(now);
        }
        return verdict;
    }

    /** Puts changes in force that another entry has read; returns whether they apply. */
    boolean receive(FeedChanges changes) {
        if (isCalling || version < 0 || isStoreLost || !canRely()) {
            return false;
        }
        FeedBatch<T> batch = share.missing(changes, feed);
        if (!batch.events().isEmpty()) {
            listener.changed(batch);
            share.told(batch);
        }
        if (!canRely()) {
            readSoon(clock.get());
        }
        return !batch.events().isEmpty();
    }

    private void readSoon(ClockReading now) {
        if (isCalling || isReadDue) {
            return;
        }
        isReadDue = true;
        long intervalMillis = Math.max(pace.minInterval().toMillis(), share.readIntervalMillis());
        requestLater(Math.max(0, intervalMillis - lastCallStart.millisUntil(now)));
    }

    /**
     * Lets this feed find out for others when the store answers again. All feeds of an entry lose the store together, and
     * each call is paid for, so the probes of every feed would cost several times as much and show nothing more.
     */
    void probeFor(List<FeedFollower<?>> others) {
        dependents.addAll(others);
        others.forEach(other -> other.prober = Optional.of(this));
    }

    /**
     * Calls the store again, which the prober has reached after failed calls.
     *
     * @param failureStart start of the prober's last failed call
     * @param failures number of its calls that failed one after the other
     */
    private void proberRegained(ClockReading failureStart, int failures) {
        if (!isStoreLost) {
            refresh();
            return;
        }
        if (lastFailureStart.millisUntil(failureStart) > 0) {
            lastFailureStart = failureStart;
        }
        failuresInARow = Math.max(failuresInARow, failures);
        retryMillis = FIRST_RETRY_MILLIS;
        requestNext();
    }

    /**
     * Calls the store again now. Another feed has found that connections to the store were lost, and a watch that waits on
     * one of them would hide changes until its timeout.
     */
    void refresh() {
        if (version >= 0 && !isStoreLost) {
            requestNext();
        }
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
        lastCall++;
        long call = lastCall;
        ClockReading start = clock.get();
        lastCallStart = start;
        isCalling = true;
        isReadDue = false;
        counter.called(name, version < 0 ? StoreCalls.Kind.LIST : StoreCalls.Kind.WATCH);
        if (version < 0) {
            feed.list().thenAccept(result -> loop.execute(() -> handleResult(call, start, result, listener::listed)));
        } else {
            feed.watch(version, watchTimeout(start), () -> loop.execute(() -> changesArrive(call)))
                    .thenAccept(result -> loop.execute(() -> handleResult(call, start, result, listener::changed)));
        }
    }

    private void changesArrive(long call) {
        if (!isStopped && call == lastCall) {
            share.changesArrive();
        }
    }

    /** Returns the timeout of the next watch, which ends when an older copy may count as rewritten. */
    private Duration watchTimeout(ClockReading start) {
        if (isStoreLost) {
            return PROBE_WAIT;
        }
        return copy.isPresent()
                ? copy.limit(pace.watchTimeout(), PROBE_WAIT, start)
                : share.watchTimeout(pace.watchTimeout(), PROBE_WAIT);
    }

    /** Forgets the known version and lists the objects; the result of the current call is ignored. */
    private void storeRestored(StoreEra before, StoreEra now) {
        log.change("store.restored")
                .with("feed", name)
                .with("era", now)
                .with("era_before", before)
                .with("version_before", version)
                .with("age_ms", ageMillis())
                .write();
        listener.storeRestored();
        copy.begin(clock.get());
        version = -1;
        requestNext();
    }

    private void handleResult(
            long call, ClockReading start, Either<StoreError, FeedBatch<T>> result, Consumer<FeedBatch<T>> apply) {
        if (isStopped || call != lastCall) {
            return;
        }
        isCalling = false;
        if (result.isLeft()) {
            handleError(start, result.getLeft());
            return;
        }
        FeedBatch<T> batch = version < 0 ? result.get() : share.withoutTold(result.get());
        if (eras.isOutdated(batch.era())) {
            handleError(start, StoreError.UNAVAILABLE);
            return;
        }
        eras.observe(batch.era());
        if (call != lastCall) {
            // The answer was the first of a new era, and the objects are being listed.
            return;
        }
        boolean isWatch = version >= 0;
        version = Math.max(version, batch.upTo());
        retryMillis = FIRST_RETRY_MILLIS;
        if (isStoreLost) {
            isStoreLost = false;
            log.change("store.regained")
                    .with("feed", name)
                    .with("version", version)
                    .with("age_ms", ageMillis())
                    .write();
            if (failuresInARow >= OUTAGE_FAILURES) {
                share.outageEnded(lastFailureStart);
                listener.storeRegained(lastFailureStart);
            }
            dependents.forEach(dependent -> dependent.proberRegained(lastFailureStart, failuresInARow));
        }
        failuresInARow = 0;
        boolean confirms = isConfirmation(start, batch, !isWatch);
        apply.accept(batch);
        if (confirms) {
            copy.end();
            if (listener.hasAppliedAll()) {
                freshness = freshness.newer(start, clock.get());
            }
        }
        share.read(batch, !isWatch, confirms && listener.hasAppliedAll() ? Optional.of(start) : Optional.empty());
        long delayMillis = isWatch ? delayAfterWatchMillis(batch, start.millisUntil(clock.get())) : 0;
        requestLater(delayMillis);
    }

    /** Returns whether all that was read is in force and is not from an older copy of the store. */
    private boolean canRely() {
        return !copy.isPresent() && listener.hasAppliedAll();
    }

    private boolean isConfirmation(ClockReading start, FeedBatch<T> batch, boolean isList) {
        return !copy.mayBeRead(start) || listener.showsNewWrite(batch, isList);
    }

    /**
     * Requests after a delay, unless the objects are listed again meanwhile. While other entries confirm the objects, no
     * call is made.
     */
    private void requestLater(long delayMillis) {
        long call = lastCall;
        boolean mayRely = version >= 0 && !isReadDue && !isStoreLost && canRely();
        long waitMillis = mayRely ? Math.max(delayMillis, share.millisUntilCall(clock.get())) : delayMillis;
        if (waitMillis <= 0) {
            requestNext();
            return;
        }
        loop.schedule(
                () -> {
                    if (call == lastCall) {
                        requestLater(0);
                    }
                },
                waitMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Returns the delay in milliseconds before the next watch, after one that took the given time. */
    private long delayAfterWatchMillis(FeedBatch<T> batch, long elapsedMillis) {
        if (batch.events().isEmpty()) {
            return elapsedMillis < EMPTY_WATCH_DELAY_MILLIS ? EMPTY_WATCH_DELAY_MILLIS : 0;
        }
        return pace.minInterval().toMillis() - elapsedMillis;
    }

    private void handleError(ClockReading start, StoreError error) {
        if (error == StoreError.TOO_OLD || (error == StoreError.TOO_LARGE && version >= 0)) {
            log.change(error == StoreError.TOO_OLD ? "store.history-gone" : "store.changes-too-large")
                    .with("feed", name)
                    .with("version", version)
                    .write();
            version = -1;
            requestNext();
            return;
        }
        lastFailureStart = start;
        failuresInARow++;
        if (!isStoreLost) {
            isStoreLost = true;
            log.change("store.lost")
                    .with("feed", name)
                    .with("error", error)
                    .with("version", version)
                    .with("age_ms", ageMillis())
                    .write();
        }
        boolean isProbedElsewhere = prober.map(FeedFollower::isStoreLost).orElse(false);
        requestLater(isProbedElsewhere ? PROBED_RETRY_MILLIS : retryMillis);
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
         * Called when the store responds again after an outage, before the new batch is passed on. A single failed call is
         * no outage.
         *
         * @param lastFailureStart start of the last call that failed
         */
        void storeRegained(ClockReading lastFailureStart);

        /**
         * Returns whether all objects that were passed on so far are in force. A call confirms nothing while the newest
         * content of an object is not, because it may have withdrawn what is still in force.
         */
        default boolean hasAppliedAll() {
            return true;
        }

        /** Called when the store has come back from an older copy, before its objects are listed. */
        default void storeRestored() {}

        /**
         * Returns whether the objects show that their writer has written since the store came back from an older copy,
         * so that the copy no longer hides what it had written before. Called before the objects are applied.
         *
         * @param batch all objects, or those that changed
         * @param isList whether the batch has all objects, of which some may be from the copy
         */
        default boolean showsNewWrite(FeedBatch<T> batch, boolean isList) {
            return false;
        }
    }
}
