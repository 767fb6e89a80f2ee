package io.endiveshed.ports.platform;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * Object API of the platform: versioned objects with conditional writes.
 *
 * <p>Stages never complete exceptionally; an error is on the left. Each call counts against the API's rate limits; a
 * watch counts as one call, however long it waits.
 */
public interface ObjectStore {
    /** Maximum size of a value in bytes. */
    int MAX_VALUE_BYTES = 1_000_000;

    /** Returns an object, or an empty value if it does not exist. */
    CompletionStage<Either<StoreError, Optional<StoredObject>>> get(ObjectKey key);

    /** Returns all objects of a kind whose name starts with a prefix. */
    CompletionStage<Either<StoreError, List<StoredObject>>> list(String kind, String namePrefix);

    /** Creates an object and returns its version; {@link StoreError#CONFLICT} if it exists. */
    CompletionStage<Either<StoreError, ObjectVersion>> create(ObjectKey key, byte[] value);

    /**
     * Updates an object and returns its new version; {@link StoreError#CONFLICT} if its version is not the expected
     * one.
     */
    CompletionStage<Either<StoreError, ObjectVersion>> update(ObjectKey key, ObjectVersion expected, byte[] value);

    /** Returns the objects of a kind written after a version; waits until there is one or the timeout expires. */
    CompletionStage<Either<StoreError, WatchBatch>> watch(String kind, ObjectVersion after, Duration timeout);
}
