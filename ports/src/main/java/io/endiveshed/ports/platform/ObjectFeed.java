package io.endiveshed.ports.platform;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * List and changes of the objects of one kind in the platform's store.
 *
 * <p>Stages never complete exceptionally; an error is on the left. Each call counts against the store's rate limits; a
 * watch counts as one call, however long it waits.
 *
 * @param <T> type of the decoded objects
 */
public interface ObjectFeed<T> {
    /**
     * Time in which the store must answer a call, or a watch after its wait, and longest pause of an answer that takes
     * longer because of its size; the call fails after it. The store normally answers within milliseconds, so a slow call
     * is retried instead.
     */
    Duration CALL_TIMEOUT = Duration.ofMillis(700);

    /** Returns all objects of the kind. */
    CompletionStage<Either<StoreError, FeedBatch<T>>> list();

    /**
     * Decodes an object that another process has read.
     *
     * @param source specification in the form of the store, see {@link FeedEvent#source}
     * @return the object; empty if this feed cannot tell what the store would return
     */
    default Optional<FeedEvent<T>> decode(String name, long version, String source) {
        return Optional.empty();
    }

    /**
     * Returns the changes after a version; waits until there is one or the timeout expires. Changes that take more than a
     * list of all objects are not read: the error is {@link StoreError#TOO_LARGE}, and the objects are to be listed.
     */
    CompletionStage<Either<StoreError, FeedBatch<T>>> watch(long afterVersion, Duration wait);

    /**
     * Watches like the other method, and runs the action as soon as the answer is known to have changes that take long to
     * read. A feed that cannot tell does not run it.
     */
    default CompletionStage<Either<StoreError, FeedBatch<T>>> watch(
            long afterVersion, Duration wait, Runnable whenLarge) {
        return watch(afterVersion, wait);
    }
}
