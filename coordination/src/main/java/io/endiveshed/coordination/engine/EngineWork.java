package io.endiveshed.coordination.engine;

/**
 * Work on one engine that is not finished yet, as placed.
 *
 * @param owner entry that placed it
 * @param number number that the owner gave
 * @param firstEventNanos predicted moment of the first event
 * @param endNanos predicted moment of the last event
 * @param firstEventLimitNanos moment after which the first event is late
 * @param abandonNanos moment at which the caller leaves if there is no first event
 * @param maxPauseMillis longest pause in milliseconds that is on time
 * @param weight importance of the request, see {@link PromptRequest#weight}
 * @param memoryTokens tokens that it holds in the engine's memory
 * @param writer whether the engine writes the answer; others only read a part of the prompt
 */
public record EngineWork(
        int owner,
        long number,
        long firstEventNanos,
        long endNanos,
        long firstEventLimitNanos,
        long abandonNanos,
        double maxPauseMillis,
        double weight,
        long memoryTokens,
        boolean writer) {
    /** Returns this work with its first event later by the given time in nanoseconds. */
    EngineWork delayed(long nanos) {
        return new EngineWork(
                owner,
                number,
                firstEventNanos + nanos,
                endNanos + nanos,
                firstEventLimitNanos,
                abandonNanos,
                maxPauseMillis,
                weight,
                memoryTokens,
                writer);
    }
}
