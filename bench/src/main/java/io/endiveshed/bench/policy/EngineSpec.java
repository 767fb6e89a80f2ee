package io.endiveshed.bench.policy;

/**
 * Speed and memory of the fake engine.
 *
 * @param linearNanos prefill time per token, in nanoseconds
 * @param quadraticNanos prefill time per squared token, in nanoseconds
 * @param decodeNanos time that one decoding request adds to a step, in nanoseconds
 * @param stepNanos least time of a step, in nanoseconds
 * @param chunkTokens prompt tokens that a step prefills at most
 * @param kvTokens KV memory, in tokens
 * @param cacheTokens prefix cache beside it, in tokens
 */
record EngineSpec(
        double linearNanos,
        double quadraticNanos,
        double decodeNanos,
        long stepNanos,
        int chunkTokens,
        long kvTokens,
        long cacheTokens) {
    /** The longest prompts, of 1 M tokens, need more than twice the memory of this engine. */
    static final EngineSpec DEFAULT = new EngineSpec(25_000, 0.1, 300_000, 12 * Units.MILLI, 1_024, 450_000, 100_000);

    /** Returns the time to prefill tokens from one position of a prompt to another. */
    double prefillNanos(long from, long to) {
        return linearNanos * (to - from) + quadraticNanos * ((double) to * to - (double) from * from);
    }

    /** Returns the time to the first token on an idle engine. */
    long idleFirstTokenNanos(long promptTokens) {
        double time = 0;
        for (long from = 0; from < promptTokens; from += chunkTokens) {
            time += Math.max((double) stepNanos, prefillNanos(from, Math.min(promptTokens, from + chunkTokens)));
        }
        return Math.round(time);
    }

    /** Returns the time to the last token on an idle engine. */
    long idleNanos(long promptTokens, long outputTokens) {
        return idleFirstTokenNanos(promptTokens) + Math.round((outputTokens - 1) * (stepNanos + decodeNanos));
    }

    /** Returns the engine time that a request takes when the engine is never idle. */
    double workNanos(long promptTokens, long outputTokens) {
        return prefillNanos(0, promptTokens) + decodeNanos * outputTokens;
    }
}
