package io.endiveshed.coordination.config;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.base.id.Revision;
import io.endiveshed.base.time.Scheduler;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.ports.platform.ObjectVersion;
import io.endiveshed.ports.platform.StoreError;
import io.endiveshed.ports.platform.StoredObject;
import io.endiveshed.ports.platform.WatchBatch;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tinylog.Logger;

/**
 * Controller that watches the head object in the store and activates newer revisions. At most one call to the store is
 * in flight at a time.
 *
 * <pre>{@code
 * ConfigurationController controller = new ConfigurationController(scheduler, store, active, random, metrics);
 * controller.start();
 * ...
 * controller.stop();
 * }</pre>
 */
public final class ConfigurationController {
    /** Maximum time for which one watch waits for a change. */
    public static final Duration WATCH_TIMEOUT = Duration.ofSeconds(60);

    /**
     * Maximum delay between a change and the next watch. Changes within the delay are read together, which bounds the
     * reads of 390 entries at 28,000 changes a day. The delay is a quarter of the 16 s within which a change must be in
     * effect.
     */
    public static final Duration COALESCING_DELAY = Duration.ofSeconds(4);

    /**
     * Maximum delay before a call that the call budget refused is retried. It does not grow, because nothing was sent
     * and the budget itself backs off from a store that refuses calls.
     */
    private static final Duration BUDGET_RETRY_DELAY = Duration.ofMillis(500);

    private static final Duration MIN_BACKOFF = Duration.ofMillis(250);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(8);

    private final Scheduler scheduler;
    private final ObjectStore store;
    private final ActiveConfiguration active;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final Map<String, ConfigurationPiece> pieces = new HashMap<>();
    private Duration backoff = MIN_BACKOFF;
    private volatile boolean stopped;
    private volatile boolean following;

    /** Creates a controller, which makes no call to the store before {@link #start}. */
    public ConfigurationController(
            Scheduler scheduler,
            ObjectStore store,
            ActiveConfiguration active,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.scheduler = scheduler;
        this.store = store;
        this.active = active;
        this.random = random;
        this.metrics = metrics;
    }

    /** Starts to watch the head object. */
    public void start() {
        readHead();
    }

    /** Stops the controller. The result of a call in flight is ignored. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns whether the last call to the store succeeded. Calls that the budget refused and watches from a version
     * that the store no longer holds do not count.
     */
    public boolean isFollowing() {
        return following;
    }

    private void readHead() {
        if (!stopped) {
            store.get(ConfigurationHead.KEY).thenAccept(this::handleHeadResult);
        }
    }

    private void handleHeadResult(Either<StoreError, Optional<StoredObject>> result) {
        if (result.isLeft()) {
            scheduleRetry(result.getLeft());
        } else {
            recordSuccess();
            result.get().ifPresentOrElse(this::applyHead, () -> watch(new ObjectVersion(0)));
        }
    }

    private void watch(ObjectVersion after) {
        if (!stopped) {
            store.watch(ConfigurationHead.KIND, after, WATCH_TIMEOUT).thenAccept(this::handleWatchResult);
        }
    }

    private void handleWatchResult(Either<StoreError, WatchBatch> result) {
        if (result.isLeft()) {
            if (result.getLeft() == StoreError.TOO_OLD) {
                metrics.counter("configuration.watch_too_old").inc();
            }
            scheduleRetry(result.getLeft());
            return;
        }
        recordSuccess();
        List<StoredObject> changed = result.get().changed();
        if (changed.isEmpty()) {
            watch(result.get().upTo());
        } else {
            applyHead(changed.get(changed.size() - 1));
        }
    }

    private void applyHead(StoredObject object) {
        ConfigurationHead head;
        try {
            head = ConfigurationHead.decode(object.value());
        } catch (RuntimeException e) {
            metrics.counter("configuration.unreadable").inc();
            Logger.error("the head of the configuration cannot be read and is ignored: {}", e.getMessage());
            watchAfterDelay(object.version());
            return;
        }
        if (head.revision().isAfter(active.revision())) {
            pieces.keySet().retainAll(head.pieces());
            readMissingPieces(head, object.version());
        } else {
            if (active.revision().isAfter(head.revision())) {
                metrics.counter("configuration.older_ignored").inc();
            }
            watchAfterDelay(object.version());
        }
    }

    /** Reads the first missing piece, then the next ones, and activates the revision when none is missing. */
    private void readMissingPieces(ConfigurationHead head, ObjectVersion version) {
        if (stopped) {
            return;
        }
        Optional<String> missing =
                head.pieces().stream().filter(name -> !pieces.containsKey(name)).findFirst();
        if (missing.isEmpty()) {
            activate(head.revision());
            watchAfterDelay(version);
            return;
        }
        store.get(ConfigurationHead.pieceKey(missing.get()))
                .thenAccept(result -> handlePieceResult(head, version, missing.get(), result));
    }

    private void handlePieceResult(
            ConfigurationHead head,
            ObjectVersion version,
            String name,
            Either<StoreError, Optional<StoredObject>> result) {
        if (result.isLeft() && result.getLeft() == StoreError.BUDGET_SPENT) {
            scheduler.schedule(withJitter(BUDGET_RETRY_DELAY), () -> readMissingPieces(head, version));
            return;
        }
        if (result.isLeft()) {
            scheduleRetry(result.getLeft());
            return;
        }
        Optional<byte[]> bytes = result.get()
                .map(StoredObject::value)
                .filter(value -> Digests.sha256Hex(value).equals(name));
        if (bytes.isEmpty()) {
            metrics.counter("configuration.unreadable").inc();
            Logger.error(
                    "piece {} of configuration revision {} is missing or damaged; apply again with a change",
                    name,
                    head.revision());
            scheduleRetry(StoreError.UNAVAILABLE);
            return;
        }
        try {
            pieces.put(name, ConfigurationPiece.decode(bytes.get()));
        } catch (RuntimeException e) {
            reportUnreadable(head.revision(), e);
            watchAfterDelay(version);
            return;
        }
        readMissingPieces(head, version);
    }

    private void activate(Revision revision) {
        try {
            active.activate(revision, ConfigurationContent.ofDecodedPieces(pieces.values()));
        } catch (RuntimeException e) {
            reportUnreadable(revision, e);
        }
    }

    private void reportUnreadable(Revision revision, RuntimeException cause) {
        metrics.counter("configuration.unreadable").inc();
        Logger.error(
                "configuration revision {} cannot be read and is not used; apply again with a change: {}",
                revision,
                cause.getMessage());
    }

    private void watchAfterDelay(ObjectVersion after) {
        scheduler.schedule(withJitter(COALESCING_DELAY), () -> watch(after));
    }

    private void recordSuccess() {
        following = true;
        backoff = MIN_BACKOFF;
    }

    private void scheduleRetry(StoreError error) {
        if (error == StoreError.BUDGET_SPENT) {
            scheduler.schedule(withJitter(BUDGET_RETRY_DELAY), this::readHead);
            return;
        }
        if (error != StoreError.TOO_OLD) {
            following = false;
        }
        scheduler.schedule(withJitter(backoff), this::readHead);
        backoff = backoff.multipliedBy(2).compareTo(MAX_BACKOFF) < 0 ? backoff.multipliedBy(2) : MAX_BACKOFF;
    }

    /** Returns a random duration between half of the given one and all of it. */
    private Duration withJitter(Duration duration) {
        long half = duration.toNanos() / 2;
        return Duration.ofNanos(half + random.nextLong(half + 1));
    }
}
