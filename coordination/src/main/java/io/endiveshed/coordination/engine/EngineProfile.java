package io.endiveshed.coordination.engine;

/**
 * Cost model of a model engine that runs its requests in batches.
 *
 * <p>An engine works in passes. A pass in which requests write has {@code stride} token steps; prompts are read within
 * the same pass and make it longer.
 *
 * @param slots requests that run at once
 * @param memoryTokens tokens that fit into the engine's memory
 * @param stepMillis time of one token step in milliseconds
 * @param stepMillisPerRequest time that each writing request adds to a step, in milliseconds
 * @param stepMillisPerThousandTokens time that 1,000 tokens of context add to a step, in milliseconds
 * @param readTokensPerMilli prompt tokens read in a millisecond
 * @param readMillisPerMillionPairs time for a million pairs of a token and any earlier token, in milliseconds
 * @param chunkTokens most prompt tokens read in one step
 * @param stride steps of a pass in which requests write
 * @param hopMillis time that a divided prompt adds to each step, in milliseconds
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        double stepMillis,
        double stepMillisPerRequest,
        double stepMillisPerThousandTokens,
        double readTokensPerMilli,
        double readMillisPerMillionPairs,
        int chunkTokens,
        int stride,
        double hopMillis) {
    private static final double PAIRS_PER_UNIT = 1e6;
    private static final double TOKENS_PER_UNIT = 1e3;

    /** Returns the time in milliseconds for one engine to read a whole prompt. */
    public double readMillis(long tokens) {
        double pairs = (double) tokens * tokens / 2;
        return tokens / readTokensPerMilli + pairs / PAIRS_PER_UNIT * readMillisPerMillionPairs;
    }

    /** Returns the most time in milliseconds that reading the given part of a prompt can add to one pass. */
    public double readMillisInOnePass(long tokens, double readMillis) {
        long perPass = (long) chunkTokens * stride;
        return tokens <= perPass ? readMillis : readMillis * perPass / tokens;
    }

    /** Returns the time in milliseconds of a pass in which the given number of requests write. */
    public double passMillis(int writers) {
        return stride * (stepMillis + stepMillisPerRequest * writers);
    }

    /** Returns the time in milliseconds of a pass in which requests with the given tokens of context write. */
    public double passMillis(int writers, long contextTokens) {
        return passMillis(writers) + stride * stepMillisPerThousandTokens * contextTokens / TOKENS_PER_UNIT;
    }

    /** Returns the time in milliseconds to write tokens, one event for each pass. */
    public double writeMillis(long tokens, int writers) {
        return Math.ceil((double) tokens / stride) * passMillis(writers);
    }
}
