package io.endiveshed.coordination.cost;

/**
 * Predicts engine time: prefill of {@code n} tokens takes {@code a*n + b*n^2}, decode a fixed time per token.
 *
 * <p>The coefficients are fitted to observations by least squares with forgetting. Time per token, {@code t/n = a +
 * b*n}, is fitted instead of the time, so that the many short prompts count as much as the few long ones. Safe for use
 * by several threads.
 *
 * <pre>{@code
 * CostModel cost = new CostModel(CostModel.Coefficients.DEFAULT);
 * cost.observePrefill(8_000, 0, 210_000_000);
 * long nanos = cost.prefillNanos(100_000, 0);
 * }</pre>
 */
public final class CostModel {
    /** Weight that the past keeps with each observation. */
    private static final double FORGETTING = 0.995;
    /** Weight of the initial coefficients, in observations. */
    private static final double PRIOR_WEIGHT = 3;
    /** Prompt lengths at which the initial coefficients count as observed, in tokens. */
    private static final double[] PRIOR_TOKENS = {1_000, 100_000};

    private static final double DECODE_WEIGHT = 0.05;

    private double weight;
    private double sumX;
    private double sumXx;
    private double sumY;
    private double sumXy;
    private volatile Coefficients coefficients;

    /** Makes a model that starts from the given coefficients. */
    public CostModel(Coefficients initial) {
        this.coefficients = initial;
        for (double tokens : PRIOR_TOKENS) {
            accumulate(PRIOR_WEIGHT, tokens, initial.linearNanos() + initial.quadraticNanos() * tokens);
        }
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
        weight *= FORGETTING;
        sumX *= FORGETTING;
        sumXx *= FORGETTING;
        sumY *= FORGETTING;
        sumXy *= FORGETTING;
        // (n^2 - c^2) / (n - c) = n + c, so a cached prefix keeps the form t/computed = a + b*x.
        accumulate(1, (double) promptTokens + cachedTokens, (double) elapsedNanos / computed);
        fit();
    }

    /**
     * Learns from a decode.
     *
     * @param tokens tokens generated
     * @param elapsedNanos time from the first to the last of them
     * @param meanBatch mean number of requests that decoded at the same time, at least 1
     */
    public synchronized void observeDecode(long tokens, long elapsedNanos, double meanBatch) {
        if (tokens <= 0 || elapsedNanos <= 0) {
            return;
        }
        double observed = elapsedNanos / (tokens * Math.max(1, meanBatch));
        Coefficients old = coefficients;
        double decode = old.decodeNanos() + DECODE_WEIGHT * (observed - old.decodeNanos());
        coefficients = new Coefficients(old.linearNanos(), old.quadraticNanos(), decode);
    }

    private void accumulate(double count, double x, double y) {
        weight += count;
        sumX += count * x;
        sumXx += count * x * x;
        sumY += count * y;
        sumXy += count * x * y;
    }

    private void fit() {
        double determinant = weight * sumXx - sumX * sumX;
        if (determinant <= 1e-9 * weight * sumXx) {
            return;
        }
        double slope = Math.max(0, (weight * sumXy - sumX * sumY) / determinant);
        double intercept = Math.max(0, (sumY - slope * sumX) / weight);
        coefficients = new Coefficients(intercept, slope, coefficients.decodeNanos());
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
        public static final Coefficients DEFAULT = new Coefficients(25_000, 0.1, 1_000_000);
    }
}
