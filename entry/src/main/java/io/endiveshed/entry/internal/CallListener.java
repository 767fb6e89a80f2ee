package io.endiveshed.entry.internal;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.TargetId;

/** Receives the events of calls. Methods are called with the lock of the call held. */
interface CallListener {
    /** Called when an attempt on the target starts. */
    void attemptStarted(TargetId target);

    /**
     * Called when the current attempt of a call has ended for this entry.
     *
     * @param timedOut whether the attempt ended at the deadline before the response started
     */
    void attemptEnded(Call call, TargetId target, boolean timedOut);

    /**
     * Called when a failed attempt may be retried on another target; the call fails with the failure if there is none.
     */
    void retryNeeded(Call call, Failure failure);

    /**
     * Called when the current attempt has lost its link.
     *
     * @param linkLoss number of times that the attempt has lost its link
     * @param longWait whether to wait longer for a new link, because the attempt cannot be replaced by another
     */
    void attemptDetached(Call call, AttemptId attempt, int linkLoss, boolean longWait);

    /** Called when an attempt resumes on a new link. */
    void attemptResumed();

    /** Called when the target must stop an attempt; the length of the request body selects the lane of the cancel. */
    void cancelNeeded(AttemptId attempt, TargetId target, long bodyBytes);

    /**
     * Called when the attempt of a non-idempotent call has no response; {@link Call#revocationFinished} takes the
     * result.
     */
    void revocationNeeded(Call call, AttemptId attempt, TargetId target, Failure failure);

    /** Called when a call ends with a failure. */
    void callFailed(Failure failure);

    /** Called when the response starts; the attempt waited in the sidecar for the given time in microseconds. */
    void firstByteReceived(Call call, long queueMicros);

    /** Called when the complete response was passed to the connection of the caller. */
    void callCompleted(Call call);

    /** Called when the call has ended, with a response or a failure. */
    void callFinished(Call call);
}
