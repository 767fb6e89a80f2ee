package io.endiveshed.coordination.queueing;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.cost.LengthBand;

/**
 * Request in the queue of a target, waiting or started.
 *
 * @param attempt identity of the attempt
 * @param entry entry that sent the request
 * @param band length band of the prompt
 * @param kvTokens maximum KV memory that it can need, in tokens: the prompt and the maximum of generated tokens
 * @param prefillNanos predicted time from the start of the request to the first token, in nanoseconds
 * @param decodeNanos predicted engine time after the first token, in nanoseconds
 * @param arrivedNanos arrival time on the monotonic clock, in nanoseconds
 * @param deadlineNanos time at which the caller stops waiting, on the same clock, in nanoseconds
 */
public record QueuedRequest(
        AttemptId attempt,
        InstanceId entry,
        LengthBand band,
        long kvTokens,
        long prefillNanos,
        long decodeNanos,
        long arrivedNanos,
        long deadlineNanos) {
    /** Returns the predicted engine time of prefill and decode, in nanoseconds. */
    public long workNanos() {
        return prefillNanos + decodeNanos;
    }
}
