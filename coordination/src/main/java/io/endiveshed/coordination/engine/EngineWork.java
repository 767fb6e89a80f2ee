package io.endiveshed.coordination.engine;

/**
 * Work on one engine that is not finished yet, as placed.
 *
 * @param owner entry that placed it
 * @param number number that the owner gave
 * @param firstEventNanos predicted moment of the first event
 * @param endNanos predicted moment of the last event
 * @param firstEventLimitNanos moment after which the first event is late
 * @param maxPauseMillis longest pause in milliseconds that is on time
 * @param weight importance, see {@link PromptRequest#weight}; 0 for a helper's part, which writes nothing
 * @param memoryTokens tokens that it holds in the engine's memory
 * @param divided whether several engines read the prompt; engines read such parts ahead of whole prompts
 */
public record EngineWork(
        int owner,
        long number,
        long firstEventNanos,
        long endNanos,
        long firstEventLimitNanos,
        double maxPauseMillis,
        double weight,
        long memoryTokens,
        boolean divided) {
    boolean isWriter() {
        return weight > 0;
    }

    /** Returns this work with its first event later by the given time in nanoseconds. */
    EngineWork delayed(long nanos) {
        return new EngineWork(
                owner,
                number,
                firstEventNanos + nanos,
                endNanos + nanos,
                firstEventLimitNanos,
                maxPauseMillis,
                weight,
                memoryTokens,
                divided);
    }
}
