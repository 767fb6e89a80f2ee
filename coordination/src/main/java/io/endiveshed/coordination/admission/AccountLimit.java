package io.endiveshed.coordination.admission;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Token bucket that holds one entry's share of a client account's limit in tokens per second. The limit is divided
 * equally among the live entries, without a coordinator.
 *
 * <p>Each entry fills its bucket at {@code limit / live entries in its view}, up to {@link #BURST_SECONDS} seconds of
 * that rate. When the number of live entries changes, the tokens in the bucket are scaled with the share, so a new
 * entry adds no burst.
 *
 * <p>Upper bound on all entries together: let {@code n} entries be live, let every entry's view contain at least
 * {@code v >= 1} of them, and let a view be wrong for at most {@code d} seconds after a change. Then the entries accept
 * at most
 *
 * <pre>limit * (t + BURST_SECONDS) + limit * (n/v - 1) * (d + BURST_SECONDS)</pre>
 *
 * tokens in any {@code t} seconds with one change, plus one request for each entry. Thread-safe.
 */
public final class AccountLimit {
    /** Capacity of the bucket: seconds of the limit that may be used at once after an idle time. */
    public static final double BURST_SECONDS = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final double limitTokensPerSecond;
    private final IntSupplier liveEntries;
    private final LongSupplier nanoClock;
    private double tokens;
    private int entryCount;
    private long updatedNanos;

    /**
     * Creates a full bucket.
     *
     * @param limitTokensPerSecond tokens per second that the account may use over all entries
     * @param liveEntries number of live entries in this entry's view, itself included
     * @param nanoClock monotonic clock in nanoseconds
     */
    public AccountLimit(double limitTokensPerSecond, IntSupplier liveEntries, LongSupplier nanoClock) {
        this.limitTokensPerSecond = limitTokensPerSecond;
        this.liveEntries = liveEntries;
        this.nanoClock = nanoClock;
        this.entryCount = Math.max(1, liveEntries.getAsInt());
        this.tokens = burstTokens();
        this.updatedNanos = nanoClock.getAsLong();
    }

    /**
     * Takes the tokens of a request if the bucket is positive. The bucket may become negative, so that a request larger
     * than the burst is accepted; later requests are refused, not queued, until the bucket is positive again.
     *
     * @return 0 if the tokens were taken; if the request is refused, the time in nanoseconds until the bucket holds one
     *     token, at least 1
     */
    public synchronized long take(long requestTokens) {
        refill();
        if (tokens > 0) {
            tokens -= requestTokens;
            return 0;
        }
        return Math.max(1, (long) Math.ceil((1 - tokens) / shareTokensPerSecond() * NANOS_PER_SECOND));
    }

    /** Puts the tokens of a request that was not run back into the bucket. */
    public synchronized void refund(long requestTokens) {
        refill();
        tokens = Math.min(burstTokens(), tokens + requestTokens);
    }

    private void refill() {
        long now = nanoClock.getAsLong();
        int live = Math.max(1, liveEntries.getAsInt());
        if (live != entryCount) {
            tokens = tokens * entryCount / live;
            entryCount = live;
        }
        tokens = Math.min(burstTokens(), tokens + shareTokensPerSecond() * (now - updatedNanos) / NANOS_PER_SECOND);
        updatedNanos = now;
    }

    private double shareTokensPerSecond() {
        return limitTokensPerSecond / entryCount;
    }

    private double burstTokens() {
        return shareTokensPerSecond() * BURST_SECONDS;
    }
}
