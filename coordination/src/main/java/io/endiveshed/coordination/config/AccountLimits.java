package io.endiveshed.coordination.config;

/**
 * Limits of a client account over all entry daemons; 0 stands for no limit.
 *
 * @param requestsPerSecond most requests per second
 * @param tokensPerMinute most tokens of prompts and answers per minute
 * @param maxOutstanding most requests at a time
 */
public record AccountLimits(long requestsPerSecond, long tokensPerMinute, long maxOutstanding) {
    /** No limits. */
    public static final AccountLimits NONE = new AccountLimits(0, 0, 0);
}
