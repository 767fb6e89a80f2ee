package io.endiveshed.coordination.membership;

/**
 * Load that a target reported last.
 *
 * @param sequence number of the report on its link
 * @param receivedNanos when the report arrived, on the monotonic clock of the receiver, in nanoseconds
 * @param running requests that the target works on
 * @param queued requests that wait in its sidecar
 * @param queuedTokens prompt tokens of the waiting requests
 * @param outstandingTokens prompt tokens of waiting and running requests of the receiving process
 * @param freeKvTokens KV memory that is neither used nor reserved, in tokens
 */
public record TargetLoad(
        long sequence,
        long receivedNanos,
        int running,
        int queued,
        long queuedTokens,
        long outstandingTokens,
        long freeKvTokens) {
    /** Load of a target that has not reported yet. */
    public static final TargetLoad NONE = new TargetLoad(0, 0, 0, 0, 0, 0, 0);
}
