package io.endiveshed.ports.platform;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's object API. Each call counts against its rates, a waiting watch as one.
 *
 * <p>Stages complete normally, with an error on the left, and never exceptionally.
 */
public interface ObjectStore {
    /** Longest value in bytes. */
    int MAX_VALUE_BYTES = 1_000_000;

    /** Reads an object, if it exists. */
    CompletionStage<Either<StoreError, Optional<StoredObject>>> get(ObjectKey key);

    /** Reads all objects of a kind whose name starts with a prefix. */
    CompletionStage<Either<StoreError, List<StoredObject>>> list(String kind, String namePrefix);

    /** Writes an object that must not exist yet. */
    CompletionStage<Either<StoreError, ObjectVersion>> create(ObjectKey key, byte[] value);

    /** Writes an object whose version must be the expected one. */
    CompletionStage<Either<StoreError, ObjectVersion>> update(ObjectKey key, ObjectVersion expected, byte[] value);

    /** Waits until an object of a kind is written after a version, or until the time is over. */
    CompletionStage<Either<StoreError, WatchBatch>> watch(String kind, ObjectVersion after, Duration timeout);
}
