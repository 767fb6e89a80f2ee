package io.endiveshed.coordination.limit;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.service.ColdStart;
import java.util.concurrent.TimeUnit;

/**
 * One entry's share of the requests that a cold target may get from all entries together.
 *
 * <p>The share is a minimum interval between two requests and not a rate with a burst. An entry that sends every 1.1 s
 * sends at most one request in any second, so as many entries can share as requests are allowed in a second, and their
 * sum is exact.
 *
 * <p>Two groups of entries that are partitioned from each other may both divide the whole, so each divides less than half of
 * what the operator accepts. With 28 requests a second, an overshoot of 1.5 and an allowance of 5, 47 requests are
 * accepted in a second; 22 entries send one in 1.1 s each, and two groups send 44.
 *
 * @param intervalNanos minimum time in nanoseconds between two requests of this entry; 0 if it may send none
 * @param meanIntervalNanos mean time in nanoseconds between two requests that all entries together send
 */
public record ColdShare(long intervalNanos, long meanIntervalNanos) {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Part of the accepted requests that one group of entries divides; the rest covers a second group and transitions. */
    private static final double DIVIDED_PART = 0.47;

    /** Part of the requests in a second, since requests that are sent 1 s apart may arrive somewhat closer together. */
    private static final double ARRIVAL_MARGIN = 0.9;

    /** Longest interval, also for rates near zero; it keeps sums of times within their range. */
    private static final double MAX_INTERVAL_NANOS = ColdStart.MAX_DURATION.toNanos();

    /** Share of an entry that may send nothing and does not know what others may send. */
    public static final ColdShare NONE = new ColdShare(0, TimeUnit.SECONDS.toNanos(1));

    /**
     * Returns the share of an entry.
     *
     * @param coldStart rate that cold targets of the service can handle
     * @param bounds what the operator accepts beyond it
     * @param target id of the target
     * @param self the entry
     * @param sharing entries among which the rate is divided
     */
    public static ColdShare of(
            ColdStart coldStart, ColdBounds bounds, InstanceId target, InstanceId self, SharingEntries sharing) {
        if (!coldStart.isLimited() || !sharing.hasContact() || sharing.entries().isEmpty()) {
            return NONE;
        }
        double rate = coldStart.requestsPerSecond();
        int perSecond = (int) (bounds.perSecond(rate) * DIVIDED_PART);
        if (perSecond == 0 && !sharing.isMajority()) {
            // Two requests in a second, one of each group, would be too many.
            return NONE;
        }
        int entries = Math.min(sharing.entries().size(), Math.max(1, perSecond));
        int perEntry = Math.max(1, perSecond / entries);
        double ownRate = ARRIVAL_MARGIN * Math.min(perEntry, rate / entries);
        long interval = (long) Math.max(entries, Math.min(MAX_INTERVAL_NANOS, NANOS_PER_SECOND / ownRate));
        return new ColdShare(
                EntryRanking.isAmongFirst(entries, target, self, sharing.entries()) ? interval : 0, interval / entries);
    }

    /** Returns whether the entry may send requests. */
    public boolean allowsRequests() {
        return intervalNanos > 0;
    }
}
