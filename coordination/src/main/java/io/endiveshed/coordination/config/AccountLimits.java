package io.endiveshed.coordination.config;

/**
 * Limits of a client account over all entry daemons; 0 means no limit.
 *
 * @param requestsPerSecond maximum number of requests per second
 * @param tokensPerMinute maximum number of tokens of prompts and completions per minute
 * @param maxOutstanding maximum number of outstanding requests at a time
 */
public record AccountLimits(long requestsPerSecond, long tokensPerMinute, long maxOutstanding) {
    /** No limits. */
    public static final AccountLimits NONE = new AccountLimits(0, 0, 0);
}
