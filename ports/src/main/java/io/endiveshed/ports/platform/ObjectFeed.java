package io.endiveshed.ports.platform;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * Objects of one kind in the platform's store, read whole and then followed by their changes.
 *
 * <p>Stages complete normally, with an error on the left, and never exceptionally. Each call counts against the store's
 * rates, a waiting watch as one.
 *
 * @param <T> type of the decoded objects
 */
public interface ObjectFeed<T> {
    /** Reads all objects. */
    CompletionStage<Either<StoreError, FeedBatch<T>>> list();

    /** Waits until an object changes after a version, or until the time is over. */
    CompletionStage<Either<StoreError, FeedBatch<T>>> watch(long afterVersion, Duration wait);
}
