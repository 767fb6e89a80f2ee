package io.endiveshed.coordination.cost;

import io.endiveshed.base.id.ClientAccountId;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates the number of prompt tokens from the number of bytes, corrected per model and client account by the counts
 * that engines report.
 *
 * <p>Prompts of one account resemble each other (language, code, tables), so the ratio of bytes to tokens is tracked
 * per account; an account without observations uses the ratio of the model. Thread-safe.
 */
public final class TokenEstimator {
    /** Bytes per token before the first observation; typical of English prose. */
    public static final double DEFAULT_BYTES_PER_TOKEN = 4.0;

    private static final double NEW_OBSERVATION_WEIGHT = 0.05;
    private static final double MIN_BYTES_PER_TOKEN = 0.5;
    private static final double MAX_BYTES_PER_TOKEN = 16;
    /** Maximum number of ratios per account, to limit memory; further accounts use the ratio of their model. */
    private static final int MAX_ACCOUNT_RATIOS = 65_536;

    private final Map<ModelAccount, Double> bytesPerTokenByAccount = new ConcurrentHashMap<>();
    private final Map<String, Double> bytesPerTokenByModel = new ConcurrentHashMap<>();

    /** Returns the estimated number of prompt tokens, at least 1. */
    public long estimate(String model, ClientAccountId account, long promptBytes) {
        double ofModel = bytesPerTokenByModel.getOrDefault(model, DEFAULT_BYTES_PER_TOKEN);
        double ratio = bytesPerTokenByAccount.getOrDefault(new ModelAccount(model, account), ofModel);
        return Math.max(1, Math.round(promptBytes / ratio));
    }

    /** Updates the ratios with the token count that an engine reported for a prompt. */
    public void observe(String model, ClientAccountId account, long promptBytes, long promptTokens) {
        if (promptBytes <= 0 || promptTokens <= 0) {
            return;
        }
        double ratio = (double) promptBytes / promptTokens;
        double bounded = Math.min(MAX_BYTES_PER_TOKEN, Math.max(MIN_BYTES_PER_TOKEN, ratio));
        bytesPerTokenByModel.merge(model, bounded, TokenEstimator::smooth);
        ModelAccount key = new ModelAccount(model, account);
        if (bytesPerTokenByAccount.size() < MAX_ACCOUNT_RATIOS || bytesPerTokenByAccount.containsKey(key)) {
            bytesPerTokenByAccount.merge(key, bounded, TokenEstimator::smooth);
        }
    }

    private static double smooth(double old, double observed) {
        return old + NEW_OBSERVATION_WEIGHT * (observed - old);
    }

    private record ModelAccount(String model, ClientAccountId account) {}
}
