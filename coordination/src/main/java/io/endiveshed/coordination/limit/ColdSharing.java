package io.endiveshed.coordination.limit;

import io.endiveshed.base.id.InstanceId;
import java.util.concurrent.TimeUnit;

/**
 * How one entry divides the rates of cold targets with the others: among which entries, and since when. Confined to one
 * thread; times are those of a monotonic clock in nanoseconds.
 */
public final class ColdSharing {
    /**
     * Time after which a division that was not confirmed ends: three heartbeats. Other entries take over the share of one
     * that is silent for 2 s.
     */
    static final long LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final InstanceId self;
    private final ColdBounds bounds;
    private SharingEntries entries = SharingEntries.NONE;
    private long sinceNanos;
    private long confirmedNanos;

    /** Creates a division of an entry that knows of no others yet. */
    public ColdSharing(InstanceId self, ColdBounds bounds, long nowNanos) {
        this.self = self;
        this.bounds = bounds;
        sinceNanos = nowNanos;
        confirmedNanos = nowNanos;
    }

    /** Sets the entries at each heartbeat; after a longer time, the process has been suspended and starts anew. */
    public void setEntries(SharingEntries newEntries, long nowNanos) {
        if (!newEntries.equals(entries) || nowNanos - confirmedNanos > LIFETIME_NANOS) {
            entries = newEntries;
            sinceNanos = nowNanos;
        }
        confirmedNanos = nowNanos;
    }

    /** Returns the entries among which rates are divided; the same object until they change. */
    public SharingEntries entries() {
        return entries;
    }

    InstanceId self() {
        return self;
    }

    ColdBounds bounds() {
        return bounds;
    }

    long sinceNanos() {
        return sinceNanos;
    }
}
