package io.endiveshed.coordination.limit;

import io.endiveshed.base.id.InstanceId;
import java.util.Set;

/**
 * One entry's share of the requests that a target takes from all entries together.
 *
 * <p>Entries divide a limit without asking each other: the few that rank first for the target share it evenly, and the
 * others send nothing. With hundreds of entries, one request of each would exceed most limits. Entries that come or go
 * change the ranking of few others.
 *
 * <p>Two groups of entries that are partitioned from each other may both divide the whole limit. The constants are chosen so
 * that even their sum stays within what the operator accepts.
 *
 * <pre>{@code
 * LimitShare share = LimitShare.of(2.5, target, self, entries);
 * }</pre>
 *
 * @param requestsPerSecond requests that the entry may send to the target in a second, on average
 * @param burst requests that it may send at once after it has sent none for a while
 */
public record LimitShare(double requestsPerSecond, double burst) {
    /** Share of an entry that may send no requests. */
    public static final LimitShare NONE = new LimitShare(0, 0);

    /**
     * Part of the limit that is divided. The operator accepts one and a half times the limit over 4 s, and 5 requests
     * more. Two groups use 2 x (4 s x 0.6 x limit + burst) of that.
     */
    private static final double USED_PART = 0.6;

    /** Requests that all entries of a group may send at once, whatever the limit: half of the 5 that are accepted. */
    private static final double FIXED_BURST = 2.5;

    /** Seconds of the limit that all entries of a group may send at once in addition; see {@link #USED_PART}. */
    private static final double BURST_SECONDS = 0.6;

    /**
     * Returns the share of an entry.
     *
     * @param limitPerSecond requests a second that the target takes from all entries, above 0
     * @param target id of the target
     * @param self the entry
     * @param entries entries among which the limit is divided; an entry that is not among them has no share
     */
    public static LimitShare of(double limitPerSecond, InstanceId target, InstanceId self, Set<InstanceId> entries) {
        if (!entries.contains(self)) {
            return NONE;
        }
        double burst = FIXED_BURST + BURST_SECONDS * limitPerSecond;
        int sharing = (int) Math.min(entries.size(), Math.floor(burst));
        return EntryRanking.isAmongFirst(sharing, target, self, entries)
                ? new LimitShare(limitPerSecond * USED_PART / sharing, burst / sharing)
                : NONE;
    }

    /** Returns the mean time in milliseconds between two requests that all entries together send under a limit. */
    static double meanIntervalMillis(double limitPerSecond) {
        return 1_000 / (limitPerSecond * USED_PART);
    }
}
