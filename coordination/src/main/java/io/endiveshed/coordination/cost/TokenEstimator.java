package io.endiveshed.coordination.cost;

import io.endiveshed.base.id.ClientAccountId;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates prompt tokens from bytes, corrected per model and client account by the counts that engines report.
 *
 * <p>Texts of one account resemble each other (language, code, tables), so their ratio of bytes to tokens is learnt
 * per account; an account that has no observation yet uses the ratio of the model. Safe for use by several threads.
 */
public final class TokenEstimator {
    /** Bytes per token before any observation; usual for English prose. */
    public static final double DEFAULT_BYTES_PER_TOKEN = 4.0;

    private static final double NEW_OBSERVATION_WEIGHT = 0.05;
    private static final double MIN_BYTES_PER_TOKEN = 0.5;
    private static final double MAX_BYTES_PER_TOKEN = 16;
    /** Most ratios kept; accounts beyond it use the ratio of their model, so that memory stays bounded. */
    private static final int MAX_RATIOS = 65_536;

    private final Map<Key, Double> bytesPerToken = new ConcurrentHashMap<>();
    private final Map<String, Double> bytesPerTokenOfModel = new ConcurrentHashMap<>();

    /** Returns the estimated number of prompt tokens, at least 1. */
    public long estimate(String model, ClientAccountId account, long promptBytes) {
        double ofModel = bytesPerTokenOfModel.getOrDefault(model, DEFAULT_BYTES_PER_TOKEN);
        double ratio = bytesPerToken.getOrDefault(new Key(model, account), ofModel);
        return Math.max(1, Math.round(promptBytes / ratio));
    }

    /** Learns from the count that an engine reported for a prompt. */
    public void observe(String model, ClientAccountId account, long promptBytes, long promptTokens) {
        if (promptBytes <= 0 || promptTokens <= 0) {
            return;
        }
        double ratio = (double) promptBytes / promptTokens;
        double bounded = Math.min(MAX_BYTES_PER_TOKEN, Math.max(MIN_BYTES_PER_TOKEN, ratio));
        bytesPerTokenOfModel.merge(model, bounded, TokenEstimator::blend);
        Key key = new Key(model, account);
        if (bytesPerToken.size() < MAX_RATIOS || bytesPerToken.containsKey(key)) {
            bytesPerToken.merge(key, bounded, TokenEstimator::blend);
        }
    }

    private static double blend(double old, double observed) {
        return old + NEW_OBSERVATION_WEIGHT * (observed - old);
    }

    private record Key(String model, ClientAccountId account) {}
}
