package io.endiveshed.coordination.queueing;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.cost.LengthBand;

/**
 * A request beside its target.
 *
 * @param attempt identity of the attempt
 * @param entry entry that sent it
 * @param band band of the prompt's length
 * @param kvTokens KV memory that it can need: prompt and most tokens to generate
 * @param prefillNanos predicted time from its start to the first token, in nanoseconds
 * @param decodeNanos predicted engine time after the first token, in nanoseconds
 * @param arrivedNanos when it arrived, on the monotonic clock, in nanoseconds
 * @param deadlineNanos when the caller stops waiting, on the same clock, in nanoseconds
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
    /** Returns the predicted engine time, in nanoseconds. */
    public long workNanos() {
        return prefillNanos + decodeNanos;
    }
}
