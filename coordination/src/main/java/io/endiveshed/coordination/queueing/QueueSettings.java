package io.endiveshed.coordination.queueing;

/**
 * Settings of {@link ShortFirstQueue}.
 *
 * @param kvCapacityTokens KV memory of the engine, in tokens
 * @param shortReserveTokens part of it that only short prompts may use, in tokens
 * @param maxWaiting most requests that wait
 * @param maxRunning most requests in the engine
 * @param maxLongerPrefills most requests above the short band whose prefill is in progress; the rest wait in this
 *     queue, where ageing and deadlines still act on them and no memory is reserved for them
 * @param delayPerWork how much later a request is served for each nanosecond of its predicted work
 * @param maxDelayNanos most by which a request is served later on account of its work, in nanoseconds; bounds ageing
 */
public record QueueSettings(
        long kvCapacityTokens,
        long shortReserveTokens,
        int maxWaiting,
        int maxRunning,
        int maxLongerPrefills,
        double delayPerWork,
        long maxDelayNanos) {
    private static final long RESERVE_ONE_IN = 10;
    private static final long MAX_DELAY_NANOS = 20_000_000_000L;

    /** Returns the settings that were best in measurements.md for an engine with this KV memory. */
    public static QueueSettings defaults(long kvCapacityTokens) {
        return new QueueSettings(kvCapacityTokens, kvCapacityTokens / RESERVE_ONE_IN, 1_024, 64, 2, 8, MAX_DELAY_NANOS);
    }
}
