package io.endiveshed.coordination.queueing;

/**
 * Settings of {@link ShortFirstQueue}.
 *
 * @param kvCapacityTokens KV memory of the engine, in tokens
 * @param shortReserveTokens part of the KV memory that is reserved for short prompts, in tokens; a longer prompt may
 *     use it while no other longer one runs
 * @param maxWaitingRequests maximum number of waiting requests
 * @param maxRunningRequests maximum number of requests in the engine
 * @param maxLongerPrefills maximum number of requests above the short band whose prefill is in progress; further ones
 *     wait in this queue, where ageing and deadlines still apply to them and no memory is reserved for them
 * @param delayPerWork delay of a request's due time, in nanoseconds per nanosecond of its predicted work
 * @param maxDelayNanos maximum delay of a request's due time, in nanoseconds; limits how long it can be overtaken
 */
public record QueueSettings(
        long kvCapacityTokens,
        long shortReserveTokens,
        int maxWaitingRequests,
        int maxRunningRequests,
        int maxLongerPrefills,
        double delayPerWork,
        long maxDelayNanos) {
    private static final long SHORT_RESERVE_ONE_IN = 10;
    private static final long DEFAULT_MAX_DELAY_NANOS = 40_000_000_000L;

    /** Returns the default settings for an engine with the given KV memory. */
    public static QueueSettings defaults(long kvCapacityTokens) {
        return new QueueSettings(
                kvCapacityTokens, kvCapacityTokens / SHORT_RESERVE_ONE_IN, 1_024, 64, 4, 8, DEFAULT_MAX_DELAY_NANOS);
    }
}
