package io.endiveshed.coordination.engine;

/**
 * Work on one engine that is not finished yet, as placed.
 *
 * @param owner entry that placed it
 * @param number number that the owner gave
 * @param firstEventNanos predicted moment of the first event
 * @param endNanos predicted moment of the last event
 * @param firstEventDeadlineNanos moment after which the first event is late
 * @param callerTimeoutNanos moment at which the caller leaves if there is no first event
 * @param maxPauseMillis longest pause in milliseconds that is on time
 * @param weight importance of the request, see {@link PromptRequest#weight}
 * @param kvTokens tokens that it holds in the engine's memory
 * @param decodes whether the engine writes the answer; others only read a part of the prompt
 */
public record EngineTask(
        int owner,
        long number,
        long firstEventNanos,
        long endNanos,
        long firstEventDeadlineNanos,
        long callerTimeoutNanos,
        double maxPauseMillis,
        double weight,
        long kvTokens,
        boolean decodes) {
    /** Returns this work with its first event later by the given time in nanoseconds. */
    EngineTask delayed(long nanos) {
        return new EngineTask(
                owner,
                number,
                firstEventNanos + nanos,
                endNanos + nanos,
                firstEventDeadlineNanos,
                callerTimeoutNanos,
                maxPauseMillis,
                weight,
                kvTokens,
                decodes);
    }
}
