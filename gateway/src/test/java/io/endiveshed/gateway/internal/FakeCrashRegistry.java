package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.crash.CrashRecord;
import io.endiveshed.gateway.CrashRegistry;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.endiveshed.ports.platform.StoreError;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Registry in memory that several entries of a test share; watches see no changes. */
final class FakeCrashRegistry implements CrashRegistry {
    private final Map<InstanceId, CrashRecord> records = new LinkedHashMap<>();
    private boolean isAvailable = true;
    private int writes;

    void setAvailable(boolean value) {
        isAvailable = value;
    }

    int writes() {
        return writes;
    }

    /** Returns all records as the list of the store. */
    FeedBatch<CrashRecord> all() {
        List<FeedEvent<CrashRecord>> events = records.values().stream()
                .map(record -> new FeedEvent<>(record.entry().value(), 1, Optional.of(record)))
                .toList();
        return new FeedBatch<>(events, 1);
    }

    @Override
    public CompletionStage<Either<StoreError, Boolean>> write(CrashRecord record) {
        if (!isAvailable) {
            return CompletableFuture.completedFuture(Either.left(StoreError.UNAVAILABLE));
        }
        writes++;
        records.put(record.entry(), record);
        return CompletableFuture.completedFuture(Either.right(true));
    }

    @Override
    public CompletionStage<Either<StoreError, FeedBatch<CrashRecord>>> list() {
        return CompletableFuture.completedFuture(Either.right(all()));
    }

    @Override
    public CompletionStage<Either<StoreError, FeedBatch<CrashRecord>>> watch(long afterVersion, Duration wait) {
        return new CompletableFuture<>();
    }
}
