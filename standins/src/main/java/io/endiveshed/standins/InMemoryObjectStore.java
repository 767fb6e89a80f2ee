package io.endiveshed.standins;

import io.endiveshed.base.time.Scheduler;
import io.endiveshed.ports.platform.ObjectKey;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.ports.platform.ObjectVersion;
import io.endiveshed.ports.platform.StoreError;
import io.endiveshed.ports.platform.StoredObject;
import io.endiveshed.ports.platform.WatchBatch;
import io.endiveshed.standins.StoreCall.Operation;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * In-memory object store of the platform, with fault injection and call counts. Thread-safe. Without a reply delay, every
 * call except a waiting watch completes before it returns.
 *
 * <pre>{@code
 * InMemoryObjectStore store = new InMemoryObjectStore(new VirtualScheduler());
 * store.faults().failNextWrite(StoreFault.LOST_REPLY);
 * store.create(key, value); // takes effect, but completes with StoreError.UNKNOWN
 * }</pre>
 */
public final class InMemoryObjectStore implements ObjectStore {
    /** Default number of recent writes of each kind from which a watch can start. */
    public static final int DEFAULT_HISTORY = 1_000;

    private final Scheduler scheduler;
    private final int historyLength;
    private final StoreFaults faults;
    private final Map<String, KindState> kinds = new HashMap<>();
    private final Map<String, Long> callCounts = new TreeMap<>();
    private long lastVersion;

    /** Creates an empty store with the default history. */
    public InMemoryObjectStore(Scheduler scheduler) {
        this(scheduler, DEFAULT_HISTORY);
    }

    /** Creates an empty store whose watches can start from any of the given number of recent writes of each kind. */
    public InMemoryObjectStore(Scheduler scheduler, int historyLength) {
        this.scheduler = scheduler;
        this.historyLength = historyLength;
        this.faults = new StoreFaults(scheduler);
    }

    /** Returns the injected faults, which the caller may change. */
    public StoreFaults faults() {
        return faults;
    }

    /** Returns the number of calls of an operation on a kind of object, including failed calls. */
    public synchronized long callCount(Operation operation, String kind) {
        return callCounts.getOrDefault(countKey(operation, kind), 0L);
    }

    /** Returns the number of calls by operation and kind; keys have the form {@code operation kind}. */
    public synchronized Map<String, Long> callCounts() {
        return new TreeMap<>(callCounts);
    }

    /** Returns the number of calls of all operations, including failed calls. */
    public synchronized long totalCallCount() {
        return callCounts.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Drops the history of all kinds, so that a watch from an earlier version fails with {@link StoreError#TOO_OLD}. */
    public synchronized void compact() {
        kinds.values().forEach(kind -> kind.compactedTo = kind.lastWrite);
    }

    @Override
    public CompletionStage<Either<StoreError, Optional<StoredObject>>> get(ObjectKey key) {
        return call(
                new StoreCall(Operation.GET, key.kind(), key.name()),
                () -> Either.right(Optional.ofNullable(kind(key.kind()).objects.get(key.name()))));
    }

    @Override
    public CompletionStage<Either<StoreError, List<StoredObject>>> list(String kind, String namePrefix) {
        return call(
                new StoreCall(Operation.LIST, kind, namePrefix),
                () -> Either.right(kind(kind).objects.values().stream()
                        .filter(object -> object.key().name().startsWith(namePrefix))
                        .toList()));
    }

    @Override
    public CompletionStage<Either<StoreError, ObjectVersion>> create(ObjectKey key, byte[] value) {
        return call(new StoreCall(Operation.CREATE, key.kind(), key.name()), () -> write(key, Optional.empty(), value));
    }

    @Override
    public CompletionStage<Either<StoreError, ObjectVersion>> update(
            ObjectKey key, ObjectVersion expected, byte[] value) {
        return call(
                new StoreCall(Operation.UPDATE, key.kind(), key.name()),
                () -> write(key, Optional.of(expected), value));
    }

    @Override
    public CompletionStage<Either<StoreError, WatchBatch>> watch(String kind, ObjectVersion after, Duration timeout) {
        CompletableFuture<Either<StoreError, WatchBatch>> reply = new CompletableFuture<>();
        StoreCall call = new StoreCall(Operation.WATCH, kind, "");
        StoreFault fault = countAndSelectFault(call);
        Duration halfDelay = faults.replyDelay().dividedBy(2);
        runAfter(halfDelay, () -> {
            if (fault != StoreFault.NONE) {
                reply.complete(Either.left(error(fault)));
            } else {
                startWatch(
                        kind, new Watch(after, result -> runAfter(halfDelay, () -> reply.complete(result))), timeout);
            }
        });
        return reply;
    }

    private void startWatch(String kindName, Watch watch, Duration timeout) {
        Either<StoreError, WatchBatch> ready;
        synchronized (this) {
            KindState kind = kind(kindName);
            if (watch.after().value() < kind.compactedTo) {
                ready = Either.left(StoreError.TOO_OLD);
            } else if (watch.after().value() < kind.lastWrite) {
                ready = Either.right(changes(kind, watch.after()));
            } else {
                kind.watches.add(watch);
                scheduler.schedule(timeout, () -> expireWatch(kind, watch));
                return;
            }
        }
        watch.receiver().accept(ready);
    }

    private void expireWatch(KindState kind, Watch watch) {
        synchronized (this) {
            if (!kind.watches.remove(watch)) {
                return;
            }
        }
        watch.receiver()
                .accept(
                        faults.isOutage()
                                ? Either.left(StoreError.UNAVAILABLE)
                                : Either.right(new WatchBatch(List.of(), watch.after())));
    }

    private <T> CompletionStage<Either<StoreError, T>> call(StoreCall call, Supplier<Either<StoreError, T>> effect) {
        CompletableFuture<Either<StoreError, T>> reply = new CompletableFuture<>();
        StoreFault fault = countAndSelectFault(call);
        Duration halfDelay = faults.replyDelay().dividedBy(2);
        runAfter(halfDelay, () -> {
            Either<StoreError, T> result = fault == StoreFault.NONE || fault == StoreFault.LOST_REPLY
                    ? apply(effect)
                    : Either.left(error(fault));
            Either<StoreError, T> reported = fault == StoreFault.LOST_REPLY ? Either.left(StoreError.UNKNOWN) : result;
            runAfter(halfDelay, () -> reply.complete(reported));
        });
        return reply;
    }

    /** Runs an effect under the lock, then completes the watches whose kind has changed, outside of the lock. */
    private <T> Either<StoreError, T> apply(Supplier<Either<StoreError, T>> effect) {
        List<Runnable> notifications = new ArrayList<>();
        Either<StoreError, T> result;
        synchronized (this) {
            result = effect.get();
            kinds.values().forEach(kind -> collectNotifications(kind, notifications));
        }
        notifications.forEach(Runnable::run);
        return result;
    }

    private void collectNotifications(KindState kind, List<Runnable> notifications) {
        for (Watch watch : List.copyOf(kind.watches)) {
            if (watch.after().value() < kind.lastWrite) {
                kind.watches.remove(watch);
                WatchBatch batch = changes(kind, watch.after());
                notifications.add(() -> watch.receiver().accept(Either.right(batch)));
            }
        }
    }

    private Either<StoreError, ObjectVersion> write(ObjectKey key, Optional<ObjectVersion> expected, byte[] value) {
        if (value.length > MAX_VALUE_BYTES) {
            return Either.left(StoreError.TOO_LARGE);
        }
        KindState kind = kind(key.kind());
        Optional<ObjectVersion> found =
                Optional.ofNullable(kind.objects.get(key.name())).map(StoredObject::version);
        if (!found.equals(expected)) {
            return Either.left(StoreError.CONFLICT);
        }
        ObjectVersion version = new ObjectVersion(++lastVersion);
        kind.objects.put(key.name(), new StoredObject(key, version, value.clone()));
        kind.recordWrite(version.value(), historyLength);
        return Either.right(version);
    }

    private static WatchBatch changes(KindState kind, ObjectVersion after) {
        List<StoredObject> changed = kind.objects.values().stream()
                .filter(object -> object.version().compareTo(after) > 0)
                .sorted(Comparator.comparing(StoredObject::version))
                .toList();
        return new WatchBatch(changed, new ObjectVersion(kind.lastWrite));
    }

    private synchronized StoreFault countAndSelectFault(StoreCall call) {
        callCounts.merge(countKey(call.operation(), call.kind()), 1L, Long::sum);
        return faults.nextFault(call);
    }

    private static StoreError error(StoreFault fault) {
        return fault == StoreFault.UNAVAILABLE ? StoreError.UNAVAILABLE : StoreError.UNKNOWN;
    }

    private void runAfter(Duration delay, Runnable action) {
        if (delay.isZero()) {
            action.run();
        } else {
            scheduler.schedule(delay, action);
        }
    }

    private KindState kind(String name) {
        return kinds.computeIfAbsent(name, ignored -> new KindState());
    }

    private static String countKey(Operation operation, String kind) {
        return operation + " " + kind;
    }

    private record Watch(ObjectVersion after, Consumer<Either<StoreError, WatchBatch>> receiver) {}

    /** Objects, versions of recent writes and waiting watches of one kind. */
    private static final class KindState {
        private final TreeMap<String, StoredObject> objects = new TreeMap<>();
        private final ArrayDeque<Long> recentWrites = new ArrayDeque<>();
        private final List<Watch> watches = new ArrayList<>();
        private long lastWrite;
        private long compactedTo;

        private void recordWrite(long version, int historyLength) {
            lastWrite = version;
            recentWrites.add(version);
            if (recentWrites.size() > historyLength) {
                compactedTo = Math.max(compactedTo, recentWrites.remove());
            }
        }
    }
}
