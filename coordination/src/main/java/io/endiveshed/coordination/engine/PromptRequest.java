package io.endiveshed.coordination.engine;

/**
 * A prompt that is to be placed.
 *
 * @param promptTokens tokens to read
 * @param outputTokens tokens that it will probably write
 * @param firstEventBudgetMillis time left in milliseconds until the first event is late; may be negative
 * @param callerTimeoutMillis time left in milliseconds until the caller gives up waiting for the first event
 * @param maxPauseMillis longest pause in milliseconds between events that are on time
 */
public record PromptRequest(
        long promptTokens,
        long outputTokens,
        double firstEventBudgetMillis,
        double callerTimeoutMillis,
        double maxPauseMillis) {
    /** A written token counts as much as this many tokens read, as engines spend more time on it. */
    private static final double OUTPUT_WEIGHT = 10;

    /** Returns the importance of the request: the work that a caller loses if it is late or refused. */
    public double weight() {
        return promptTokens + OUTPUT_WEIGHT * outputTokens;
    }
}
