package io.endiveshed.net.platform.internal;

import io.endiveshed.net.platform.StoreBudget;
import io.endiveshed.net.platform.StoreUse;
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
import java.util.concurrent.CompletionStage;

/** Object store whose calls count against a {@link StoreBudget}. */
public record BudgetedStore(ObjectStore store, StoreBudget budget, StoreUse use) implements ObjectStore {
    @Override
    public CompletionStage<Either<StoreError, Optional<StoredObject>>> get(ObjectKey key) {
        return budget.call(use, () -> store.get(key));
    }

    @Override
    public CompletionStage<Either<StoreError, List<StoredObject>>> list(String kind, String namePrefix) {
        return budget.call(use, () -> store.list(kind, namePrefix));
    }

    @Override
    public CompletionStage<Either<StoreError, ObjectVersion>> create(ObjectKey key, byte[] value) {
        return budget.call(use, () -> store.create(key, value));
    }

    @Override
    public CompletionStage<Either<StoreError, ObjectVersion>> update(
            ObjectKey key, ObjectVersion expected, byte[] value) {
        return budget.call(use, () -> store.update(key, expected, value));
    }

    @Override
    public CompletionStage<Either<StoreError, WatchBatch>> watch(String kind, ObjectVersion after, Duration timeout) {
        return budget.longPollCall(use, () -> store.watch(kind, after, timeout));
    }
}
