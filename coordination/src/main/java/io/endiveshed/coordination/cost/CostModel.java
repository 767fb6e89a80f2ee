package io.endiveshed.coordination.cost;

/**
 * Predicts engine time: prefill of {@code n} tokens takes {@code a*n + b*n^2}, decode a fixed time per token.
 *
 * <p>The coefficients are fitted to observations by least squares with forgetting. Time per token, {@code t/n = a +
 * b*n}, is fitted instead of the time, so that the many short prompts count as much as the few long ones. The engine
 * time of a decoded token is what one more request in the batch adds to the time per token. Safe for use by several
 * threads.
 *
 * <pre>{@code
 * CostModel cost = new CostModel(CostModel.Coefficients.DEFAULT);
 * cost.observePrefill(8_000, 0, 210_000_000);
 * long nanos = cost.prefillNanos(100_000, 0);
 * }</pre>
 */
public final class CostModel {
    /** Weight of the initial coefficients, in observations at each of two places. */
    private static final double PRIOR_WEIGHT = 3;

    private static final double PRIOR_SHORT_TOKENS = 1_000;
    private static final double PRIOR_LONG_TOKENS = 100_000;
    private static final double PRIOR_LARGE_BATCH = 32;

    private final LinearFit prefill;
    private final LinearFit decode;
    private volatile Coefficients coefficients;

    /** Makes a model that starts from the given coefficients. */
    public CostModel(Coefficients initial) {
        this.coefficients = initial;
        this.prefill = new LinearFit(
                initial.linearNanos(), initial.quadraticNanos(), PRIOR_SHORT_TOKENS, PRIOR_LONG_TOKENS, PRIOR_WEIGHT);
        this.decode = new LinearFit(0, initial.decodeNanos(), 1, PRIOR_LARGE_BATCH, PRIOR_WEIGHT);
    }

    /** Returns the coefficients in effect. */
    public Coefficients coefficients() {
        return coefficients;
    }

    /** Returns the predicted time to prefill a prompt of which a prefix is cached, in nanoseconds. */
    public long prefillNanos(long promptTokens, long cachedTokens) {
        double n = promptTokens;
        double c = Math.min(cachedTokens, promptTokens);
        Coefficients now = coefficients;
        return Math.round(now.linearNanos() * (n - c) + now.quadraticNanos() * (n * n - c * c));
    }

    /** Returns the predicted engine time to decode tokens, in nanoseconds. */
    public long decodeNanos(long tokens) {
        return Math.round(coefficients.decodeNanos() * tokens);
    }

    /** Learns from a prefill that the engine worked on without interruption. */
    public synchronized void observePrefill(long promptTokens, long cachedTokens, long elapsedNanos) {
        long computed = promptTokens - cachedTokens;
        if (computed <= 0 || elapsedNanos <= 0) {
            return;
        }
        // (n^2 - c^2) / (n - c) = n + c, so a cached prefix keeps the form t/computed = a + b*x.
        prefill.observe((double) promptTokens + cachedTokens, (double) elapsedNanos / computed);
        publish();
    }

    /**
     * Learns from a decode.
     *
     * @param tokens tokens generated after the first
     * @param elapsedNanos time from the first to the last of them
     * @param meanBatch mean number of requests that decoded at the same time, at least 1
     */
    public synchronized void observeDecode(long tokens, long elapsedNanos, double meanBatch) {
        if (tokens <= 0 || elapsedNanos <= 0) {
            return;
        }
        decode.observe(Math.max(1, meanBatch), (double) elapsedNanos / tokens);
        publish();
    }

    private void publish() {
        coefficients = new Coefficients(prefill.intercept(), prefill.slope(), decode.slope());
    }

    /**
     * Coefficients of the model.
     *
     * @param linearNanos {@code a}, in nanoseconds per prompt token
     * @param quadraticNanos {@code b}, in nanoseconds per squared prompt token
     * @param decodeNanos engine time per generated token, in nanoseconds
     */
    public record Coefficients(double linearNanos, double quadraticNanos, double decodeNanos) {
        /** Coefficients used until engines were observed. */
        public static final Coefficients DEFAULT = new Coefficients(40_000, 0.2, 500_000);
    }
}
