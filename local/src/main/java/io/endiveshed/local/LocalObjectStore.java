package io.endiveshed.local;

import io.endiveshed.ports.platform.ObjectKey;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.ports.platform.ObjectVersion;
import io.endiveshed.ports.platform.StoreError;
import io.endiveshed.ports.platform.StoredObject;
import io.endiveshed.ports.platform.WatchBatch;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Objects in memory for one process, until the in-memory platform of module {@code standins} replaces it. */
final class LocalObjectStore implements ObjectStore {
    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private long version;

    @Override
    public synchronized CompletionStage<Either<StoreError, Optional<StoredObject>>> get(ObjectKey key) {
        return done(Either.right(Optional.ofNullable(objects.get(key.toString()))));
    }

    @Override
    public synchronized CompletionStage<Either<StoreError, List<StoredObject>>> list(String kind, String namePrefix) {
        String prefix = new ObjectKey(kind, namePrefix).toString();
        return done(Either.right(
                List.copyOf(objects.subMap(prefix, prefix + Character.MAX_VALUE).values())));
    }

    @Override
    public CompletionStage<Either<StoreError, ObjectVersion>> create(ObjectKey key, byte[] value) {
        return write(key, Optional.empty(), value);
    }

    @Override
    public CompletionStage<Either<StoreError, ObjectVersion>> update(
            ObjectKey key, ObjectVersion expected, byte[] value) {
        return write(key, Optional.of(expected), value);
    }

    @Override
    public CompletionStage<Either<StoreError, WatchBatch>> watch(String kind, ObjectVersion after, Duration timeout) {
        return done(Either.left(StoreError.UNAVAILABLE));
    }

    private synchronized CompletionStage<Either<StoreError, ObjectVersion>> write(
            ObjectKey key, Optional<ObjectVersion> expected, byte[] value) {
        Optional<ObjectVersion> current =
                Optional.ofNullable(objects.get(key.toString())).map(StoredObject::version);
        if (value.length > MAX_VALUE_BYTES) {
            return done(Either.left(StoreError.TOO_LARGE));
        }
        if (!current.equals(expected)) {
            return done(Either.left(StoreError.CONFLICT));
        }
        ObjectVersion written = new ObjectVersion(++version);
        objects.put(key.toString(), new StoredObject(key, written, value));
        return done(Either.right(written));
    }

    private static <T> CompletionStage<T> done(T value) {
        return CompletableFuture.completedFuture(value);
    }
}
