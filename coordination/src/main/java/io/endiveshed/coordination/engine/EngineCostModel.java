package io.endiveshed.coordination.engine;

/**
 * Cost model of a model engine that runs its requests in batches.
 *
 * <p>An engine tasks in passes. A pass in which requests write has {@code stepsPerPass} token steps; prompts are read within
 * the same pass and make it longer.
 *
 * @param slots requests that run at once
 * @param kvCapacityTokens tokens that fit into the engine's memory
 * @param stepMillis time of one token step in milliseconds
 * @param stepMillisPerRequest time that each writing request adds to a step, in milliseconds
 * @param stepMillisPerThousandTokens time that 1,000 tokens of context add to a step, in milliseconds
 * @param prefillTokensPerMilli prompt tokens read in a millisecond
 * @param prefillMillisPerMillionPairs time for a million pairs of a token and any earlier token, in milliseconds
 * @param prefillTokensPerStep most prompt tokens read in one step
 * @param stepsPerPass steps of a pass in which requests write
 * @param dividedStepMillis time that a divided prompt adds to each step, in milliseconds
 */
public record EngineCostModel(
        int slots,
        long kvCapacityTokens,
        double stepMillis,
        double stepMillisPerRequest,
        double stepMillisPerThousandTokens,
        double prefillTokensPerMilli,
        double prefillMillisPerMillionPairs,
        int prefillTokensPerStep,
        int stepsPerPass,
        double dividedStepMillis) {
    private static final double PAIRS_PER_UNIT = 1e6;
    private static final double TOKENS_PER_UNIT = 1e3;

    /** Returns the time in milliseconds for one engine to read a whole prompt. */
    public double prefillMillis(long tokens) {
        double pairs = (double) tokens * tokens / 2;
        return tokens / prefillTokensPerMilli + pairs / PAIRS_PER_UNIT * prefillMillisPerMillionPairs;
    }

    /** Returns the most time in milliseconds that reading the given part of a prompt can add to one pass. */
    public double prefillMillisInOnePass(long tokens, double prefillMillis) {
        long perPass = (long) prefillTokensPerStep * stepsPerPass;
        return tokens <= perPass ? prefillMillis : prefillMillis * perPass / tokens;
    }

    /** Returns the time in milliseconds of a pass in which the given number of requests write. */
    public double passMillis(int writers) {
        return stepsPerPass * (stepMillis + stepMillisPerRequest * writers);
    }

    /** Returns the time in milliseconds of a pass in which requests with the given tokens of context write. */
    public double passMillis(int writers, long contextTokens) {
        return passMillis(writers) + stepsPerPass * stepMillisPerThousandTokens * contextTokens / TOKENS_PER_UNIT;
    }

    /** Returns the time in milliseconds to write tokens, one event for each pass. */
    public double decodeMillis(long tokens, int writers) {
        return Math.ceil((double) tokens / stepsPerPass) * passMillis(writers);
    }
}
