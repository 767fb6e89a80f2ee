package io.endiveshed.coordination.cost;

/** Length bands of prompts, from the shortest to the longest. */
public enum LengthBand {
    /** Up to 4,096 tokens. */
    SHORT(4_096),
    /** Up to 32,768 tokens. */
    MEDIUM(32_768),
    /** Up to 100,000 tokens. */
    LONG(100_000),
    /** Above 100,000 tokens. */
    VERY_LONG(Long.MAX_VALUE);

    /** Number of bands. */
    public static final int COUNT = values().length;

    private final long maxTokens;

    LengthBand(long maxTokens) {
        this.maxTokens = maxTokens;
    }

    /** Returns the band of a prompt of the given length in tokens. */
    public static LengthBand of(long promptTokens) {
        if (promptTokens <= SHORT.maxTokens) {
            return SHORT;
        }
        if (promptTokens <= MEDIUM.maxTokens) {
            return MEDIUM;
        }
        return promptTokens <= LONG.maxTokens ? LONG : VERY_LONG;
    }
}
