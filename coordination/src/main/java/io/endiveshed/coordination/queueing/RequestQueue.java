package io.endiveshed.coordination.queueing;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.routing.BandWork;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * Queue of the requests that wait for a target, which also tracks the requests that run on it. Not thread-safe: used by
 * one thread only.
 *
 * <p>A request passes through {@link #offer}, {@link #poll}, {@link #recordFirstToken} and {@link #finish}, in this
 * order; {@link #finish} may be called at any point after the offer, for example when the caller cancels.
 */
public interface RequestQueue {
    /** Adds a request to the queue, or refuses it with a failure whose outcome is {@code not_run}. */
    Either<Failure, QueuedRequest> offer(QueuedRequest request);

    /** Starts the next request that can start now and reserves its memory; returns empty if there is none. */
    Optional<StartedRequest> poll();

    /** Records that the engine finished the prefill of a started request. */
    void recordFirstToken(AttemptId attempt);

    /** Removes a request and frees its memory; returns whether it was started. Unknown requests are ignored. */
    boolean finish(AttemptId attempt);

    /** Removes a request if it is still waiting; returns whether it was, which proves that it was not run. */
    boolean revoke(AttemptId attempt);

    /** Removes and returns the waiting requests that can no longer finish before their deadline; they were not run. */
    List<QueuedRequest> removeExpired();

    /** Returns the remaining work of all waiting and started requests. */
    BandWork outstandingWork();

    /** Returns the part of {@link #outstandingWork} that one entry sent. */
    BandWork outstandingWorkOf(InstanceId entry);

    /** Returns the KV memory that is neither reserved nor needed by waiting requests, in tokens; may be negative. */
    long freeKvTokens();
}
