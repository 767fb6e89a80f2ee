package io.endiveshed.coordination.cost;

/**
 * Predicts engine time: prefill of {@code n} tokens takes {@code a*n + b*n^2}, and decode takes a fixed time per token.
 *
 * <p>The coefficients are fitted to observations by least squares with forgetting. The fit uses the time per token,
 * {@code t/n = a + b*n}, instead of the time, so that the many short prompts count as much as the few long ones. The
 * engine time of a decoded token is the time that one more request in the batch adds to the time per token.
 * Thread-safe.
 *
 * <pre>{@code
 * CostModel cost = new CostModel(CostModel.Coefficients.DEFAULT);
 * cost.observePrefill(8_000, 0, 210_000_000);
 * long nanos = cost.prefillNanos(100_000, 0);
 * }</pre>
 */
public final class CostModel {
    /** Weight of the initial coefficients: number of equivalent observations at each of two points. */
    private static final double PRIOR_WEIGHT_OBSERVATIONS = 3;

    private static final double PRIOR_SHORT_PROMPT_TOKENS = 1_000;
    private static final double PRIOR_LONG_PROMPT_TOKENS = 100_000;
    private static final double PRIOR_LARGE_BATCH_REQUESTS = 32;

    private final LinearFit prefillFit;
    private final LinearFit decodeFit;
    private volatile Coefficients coefficients;

    /** Creates a model with the given initial coefficients. */
    public CostModel(Coefficients initial) {
        this.coefficients = initial;
        this.prefillFit = new LinearFit(
                initial.prefillNanosPerToken(),
                initial.prefillNanosPerSquaredToken(),
                PRIOR_SHORT_PROMPT_TOKENS,
                PRIOR_LONG_PROMPT_TOKENS,
                PRIOR_WEIGHT_OBSERVATIONS);
        this.decodeFit = new LinearFit(
                0, initial.decodeNanosPerToken(), 1, PRIOR_LARGE_BATCH_REQUESTS, PRIOR_WEIGHT_OBSERVATIONS);
    }

    /** Returns the coefficients in effect. */
    public Coefficients coefficients() {
        return coefficients;
    }

    /** Returns the predicted time to prefill a prompt with a cached prefix, in nanoseconds; lengths are in tokens. */
    public long prefillNanos(long promptTokens, long cachedTokens) {
        double n = promptTokens;
        double c = Math.min(cachedTokens, promptTokens);
        Coefficients now = coefficients;
        return Math.round(now.prefillNanosPerToken() * (n - c) + now.prefillNanosPerSquaredToken() * (n * n - c * c));
    }

    /** Returns the predicted engine time to decode a number of tokens, in nanoseconds. */
    public long decodeNanos(long tokens) {
        return Math.round(coefficients.decodeNanosPerToken() * tokens);
    }

    /** Updates the model with a prefill that the engine executed without interruption; ignores an empty one. */
    public synchronized void observePrefill(long promptTokens, long cachedTokens, long elapsedNanos) {
        long computed = promptTokens - cachedTokens;
        if (computed <= 0 || elapsedNanos <= 0) {
            return;
        }
        // (n^2 - c^2) / (n - c) = n + c, so with a cached prefix the relation is still t/computed = a + b*x.
        prefillFit.observe((double) promptTokens + cachedTokens, (double) elapsedNanos / computed);
        updateCoefficients();
    }

    /**
     * Updates the model with a decode; ignores an empty one.
     *
     * @param tokens number of tokens generated after the first
     * @param elapsedNanos time from the first to the last token, in nanoseconds
     * @param meanBatch mean number of requests that were decoded at the same time, at least 1
     */
    public synchronized void observeDecode(long tokens, long elapsedNanos, double meanBatch) {
        if (tokens <= 0 || elapsedNanos <= 0) {
            return;
        }
        decodeFit.observe(Math.max(1, meanBatch), (double) elapsedNanos / tokens);
        updateCoefficients();
    }

    private void updateCoefficients() {
        coefficients = new Coefficients(prefillFit.intercept(), prefillFit.slope(), decodeFit.slope());
    }

    /**
     * Coefficients of the model.
     *
     * @param prefillNanosPerToken {@code a}, in nanoseconds per prompt token
     * @param prefillNanosPerSquaredToken {@code b}, in nanoseconds per squared prompt token
     * @param decodeNanosPerToken engine time per generated token, in nanoseconds
     */
    public record Coefficients(
            double prefillNanosPerToken, double prefillNanosPerSquaredToken, double decodeNanosPerToken) {
        /** Coefficients that are used until engine times have been observed. */
        public static final Coefficients DEFAULT = new Coefficients(40_000, 0.2, 500_000);
    }
}
