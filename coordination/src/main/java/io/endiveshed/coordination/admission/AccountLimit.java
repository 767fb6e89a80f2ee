package io.endiveshed.coordination.admission;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * One entry's part of an account's limit in tokens per second, divided over the live entries without a coordinator.
 *
 * <p>Each entry fills a bucket at {@code limit / live entries in its view}, up to {@link #BURST_SECONDS} of it. When
 * the number of live entries changes, the tokens in the bucket are scaled with the share, so a new entry adds no burst.
 *
 * <p>Overshoot bound: let {@code n} entries be live and every entry's view count at least {@code v >= 1} of them, and
 * let a view be wrong for at most {@code d} seconds after a change. Then all entries together accept at most
 *
 * <pre>limit * (t + BURST_SECONDS) + limit * (n/v - 1) * (d + BURST_SECONDS)</pre>
 *
 * tokens in any {@code t} seconds with one change, plus one request for each entry. Safe for use by several threads.
 */
public final class AccountLimit {
    /** Seconds of the limit that may be used at once after a pause. */
    public static final double BURST_SECONDS = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final double limitPerSecond;
    private final IntSupplier liveEntries;
    private final LongSupplier nanoClock;
    private double tokens;
    private int entries;
    private long updatedNanos;

    /**
     * Makes a full bucket.
     *
     * @param limitPerSecond tokens per second that the account may use on all entries together
     * @param liveEntries number of live entries in this entry's view, itself included
     * @param nanoClock monotonic clock in nanoseconds
     */
    public AccountLimit(double limitPerSecond, IntSupplier liveEntries, LongSupplier nanoClock) {
        this.limitPerSecond = limitPerSecond;
        this.liveEntries = liveEntries;
        this.nanoClock = nanoClock;
        this.entries = Math.max(1, liveEntries.getAsInt());
        this.tokens = burst();
        this.updatedNanos = nanoClock.getAsLong();
    }

    /**
     * Takes the tokens of a request if the bucket is not empty. The bucket may become negative, so that a request larger
     * than the burst is possible and is paid for afterwards.
     *
     * @return 0 if taken, otherwise the nanoseconds until the bucket is positive again
     */
    public synchronized long take(long requestTokens) {
        refill();
        if (tokens > 0) {
            tokens -= requestTokens;
            return 0;
        }
        return Math.max(1, (long) Math.ceil((1 - tokens) / share() * NANOS_PER_SECOND));
    }

    /** Returns tokens of a request that did not run after all. */
    public synchronized void giveBack(long requestTokens) {
        refill();
        tokens = Math.min(burst(), tokens + requestTokens);
    }

    private void refill() {
        long now = nanoClock.getAsLong();
        int live = Math.max(1, liveEntries.getAsInt());
        if (live != entries) {
            tokens = tokens * entries / live;
            entries = live;
        }
        tokens = Math.min(burst(), tokens + share() * (now - updatedNanos) / NANOS_PER_SECOND);
        updatedNanos = now;
    }

    private double share() {
        return limitPerSecond / entries;
    }

    private double burst() {
        return share() * BURST_SECONDS;
    }
}
