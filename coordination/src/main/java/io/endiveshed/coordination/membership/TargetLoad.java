package io.endiveshed.coordination.membership;

/**
 * Most recent load that a target reported.
 *
 * @param sequence number of the load report on its link
 * @param receivedNanos time of arrival in nanoseconds on the receiver's monotonic clock
 * @param running number of requests that the target is executing
 * @param queued number of requests queued in the target's sidecar
 * @param queuedTokens prompt tokens of the queued requests
 * @param outstandingTokens prompt tokens of queued and running requests that the receiving process sent
 * @param freeKvTokens KV cache capacity that is neither used nor reserved, in tokens
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
