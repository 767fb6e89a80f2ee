package io.endiveshed.sidecar.internal;

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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Store of a sidecar whose settings name no platform. Every operation fails with {@link StoreError#UNAVAILABLE}, so calls
 * with an idempotency key are refused as in an outage of the store.
 */
public final class UnavailableStore implements ObjectStore {
    @Override
    public CompletionStage<Either<StoreError, Optional<StoredObject>>> get(ObjectKey key) {
        return unavailable();
    }

    @Override
    public CompletionStage<Either<StoreError, List<StoredObject>>> list(String kind, String namePrefix) {
        return unavailable();
    }

    @Override
    public CompletionStage<Either<StoreError, ObjectVersion>> create(ObjectKey key, byte[] value) {
        return unavailable();
    }

    @Override
    public CompletionStage<Either<StoreError, ObjectVersion>> update(
            ObjectKey key, ObjectVersion expected, byte[] value) {
        return unavailable();
    }

    @Override
    public CompletionStage<Either<StoreError, WatchBatch>> watch(String kind, ObjectVersion after, Duration timeout) {
        return unavailable();
    }

    private static <T> CompletionStage<Either<StoreError, T>> unavailable() {
        return CompletableFuture.completedFuture(Either.left(StoreError.UNAVAILABLE));
    }
}
