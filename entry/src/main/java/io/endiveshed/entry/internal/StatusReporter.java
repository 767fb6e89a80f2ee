package io.endiveshed.entry.internal;

import io.endiveshed.base.time.Scheduler;
import io.endiveshed.entry.EntryStatus;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.ports.platform.ObjectVersion;
import io.endiveshed.ports.platform.StoreError;
import io.endiveshed.ports.platform.StoredObject;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Writes the status of this entry to the store at a low rate. A report that fails is left out. */
public final class StatusReporter {
    /** Mean time between reports; 390 entries make 6.5 writes per second. */
    public static final Duration MEAN_INTERVAL = Duration.ofSeconds(60);

    /** Mean time from the start to the first report; sidecars have linked and the configuration is read by then. */
    private static final Duration FIRST_REPORT_DELAY = Duration.ofSeconds(5);

    private final Scheduler scheduler;
    private final ObjectStore store;
    private final RandomGenerator random;
    private final Supplier<EntryStatus> status;
    private Optional<ObjectVersion> version = Optional.empty();
    private volatile boolean stopped;

    /** Makes a reporter of the status that the supplier returns. */
    public StatusReporter(
            Scheduler scheduler, ObjectStore store, RandomGenerator random, Supplier<EntryStatus> status) {
        this.scheduler = scheduler;
        this.store = store;
        this.random = random;
        this.status = status;
    }

    /** Starts to report. */
    public void start() {
        scheduleReport(FIRST_REPORT_DELAY);
    }

    /** Stops reporting. */
    public void stop() {
        stopped = true;
    }

    private void report() {
        if (!stopped) {
            EntryStatus current = status.get();
            write(current).thenAccept(result -> handleWriteResult(current, result));
        }
    }

    private CompletionStage<Either<StoreError, ObjectVersion>> write(EntryStatus current) {
        return version.isPresent()
                ? store.update(current.key(), version.get(), current.toJson())
                : store.create(current.key(), current.toJson());
    }

    private void handleWriteResult(EntryStatus current, Either<StoreError, ObjectVersion> result) {
        if (result.isRight()) {
            version = Optional.of(result.get());
        } else if (result.getLeft() == StoreError.CONFLICT || result.getLeft() == StoreError.UNKNOWN) {
            store.get(current.key()).thenAccept(this::handleStoredStatus);
            return;
        }
        scheduleReport(MEAN_INTERVAL);
    }

    /** An earlier incarnation wrote the object, or the reply to an own write was lost. */
    private void handleStoredStatus(Either<StoreError, Optional<StoredObject>> result) {
        if (result.isRight()) {
            version = result.get().map(StoredObject::version);
        }
        scheduleReport(result.isRight() ? MEAN_INTERVAL.dividedBy(10) : MEAN_INTERVAL);
    }

    private void scheduleReport(Duration mean) {
        long half = mean.toNanos() / 2;
        scheduler.schedule(Duration.ofNanos(half + random.nextLong(2 * half)), this::report);
    }
}
