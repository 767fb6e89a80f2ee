package io.endiveshed.coordination.limit;

import io.endiveshed.coordination.availability.RequestGate;
import io.endiveshed.coordination.availability.TargetStatus;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Limit that one target names, as one entry knows it, and the requests that the entry may still send under its share.
 * Confined to one thread; times are those of a monotonic clock in nanoseconds.
 *
 * <p>What is known has the time at which it was true. An older observation, such as the answer to a request that was
 * sent before the target named its limit, does not replace a newer one. Only own observations are told to other entries:
 * the time that a message was under way is not known, so what is passed on would look younger from entry to entry.
 *
 * <pre>{@code
 * limit.observeLimit(2.5, nowNanos);
 * limit.setShare(LimitShare.of(2.5, target, self, entries), nowNanos);
 * if (limit.tryAcquire(nowNanos)) {
 *     // Send a request.
 * }
 * }</pre>
 */
public final class TargetLimit implements RequestGate {
    /**
     * Lowest limit in requests a second that is kept to. A target that takes none at all gets a request now and then,
     * since only its answers tell that the limit has ended.
     */
    private static final double MIN_PER_SECOND = 0.1;

    private static final double NANOS_PER_SECOND = 1e9;

    private OptionalDouble requestsPerSecond = OptionalDouble.empty();
    private boolean isObserved;
    private boolean isOwnObservation;
    private long observedNanos;
    private long changedNanos;
    private LimitShare share = LimitShare.NONE;
    private double permits;
    private long refilledNanos;

    /**
     * Records that the target named a limit; returns whether this changed what is known.
     *
     * @param perSecond requests a second that it takes from all entries together, not negative
     * @param atNanos time at which it named the limit
     */
    public boolean observeLimit(double perSecond, long atNanos) {
        return update(OptionalDouble.of(perSecond), atNanos, true);
    }

    /**
     * Records that the target named no limit; returns whether this changed what is known.
     *
     * @param atNanos a time after which the target did not name one, such as the start of the request
     */
    public boolean observeNoLimit(long atNanos) {
        return isObserved && update(OptionalDouble.empty(), atNanos, true);
    }

    /**
     * Records what another entry has observed; returns whether this changed what is known.
     *
     * @param perSecond requests a second that the target takes; empty if it no longer names a limit
     * @param atNanos time of the observation
     */
    public boolean learn(OptionalDouble perSecond, long atNanos) {
        return update(perSecond, atNanos, false);
    }

    private boolean update(OptionalDouble perSecond, long atNanos, boolean isOwn) {
        if (isObserved && atNanos - observedNanos <= 0) {
            return false;
        }
        isObserved = true;
        isOwnObservation = isOwn;
        observedNanos = atNanos;
        OptionalDouble before = requestsPerSecond;
        requestsPerSecond = perSecond.isPresent()
                ? OptionalDouble.of(Math.max(MIN_PER_SECOND, perSecond.getAsDouble()))
                : perSecond;
        boolean isChanged = !requestsPerSecond.equals(before);
        changedNanos = isChanged ? atNanos : changedNanos;
        return isChanged;
    }

    /** Returns the requests a second that the target takes from all entries together; empty if it names no limit. */
    public OptionalDouble requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Returns whether this entry itself has made the newest observation. */
    public boolean isOwnObservation() {
        return isOwnObservation;
    }

    /** Returns the age in milliseconds of what is known; 0 if the target has never named a limit. */
    public long ageMillis(long nowNanos) {
        return isObserved ? TimeUnit.NANOSECONDS.toMillis(nowNanos - observedNanos) : 0;
    }

    /** Returns the time in milliseconds since the target first named the limit that is known, or first named none. */
    public long unchangedMillis(long nowNanos) {
        return isObserved ? TimeUnit.NANOSECONDS.toMillis(nowNanos - changedNanos) : 0;
    }

    /** Returns the share of this entry. */
    public LimitShare share() {
        return share;
    }

    /** Sets the share of this entry. A new share starts without permits, as the entry that had it may have used them. */
    public void setShare(LimitShare newShare, long nowNanos) {
        permits = Math.min(permits(nowNanos), newShare.burst());
        refilledNanos = nowNanos;
        share = newShare;
    }

    @Override
    public TargetStatus status(long nowNanos) {
        return allowsRequest(nowNanos)
                ? TargetStatus.AVAILABLE
                : TargetStatus.unavailable(TargetStatus.Reason.RATE_LIMITED, waitMillis(nowNanos));
    }

    @Override
    public void acquire(long nowNanos) {
        tryAcquire(nowNanos);
    }

    /** Returns whether a request may be sent now. */
    public boolean allowsRequest(long nowNanos) {
        return requestsPerSecond.isEmpty() || permits(nowNanos) >= 1;
    }

    /** Takes the permit of a request that is sent now; returns whether there was one. */
    public boolean tryAcquire(long nowNanos) {
        if (requestsPerSecond.isEmpty()) {
            return true;
        }
        double available = permits(nowNanos);
        if (available < 1) {
            return false;
        }
        permits = available - 1;
        refilledNanos = nowNanos;
        return true;
    }

    /**
     * Returns the time in milliseconds until a request may be sent. For an entry without a share, it is the mean time
     * until another one may send a request.
     */
    public long waitMillis(long nowNanos) {
        if (allowsRequest(nowNanos)) {
            return 0;
        }
        double millis = share.requestsPerSecond() > 0
                ? (1 - permits(nowNanos)) * 1_000 / share.requestsPerSecond()
                : LimitShare.meanIntervalMillis(requestsPerSecond.getAsDouble());
        return Math.max(1, (long) Math.ceil(millis));
    }

    private double permits(long nowNanos) {
        double seconds = Math.max(0, nowNanos - refilledNanos) / NANOS_PER_SECOND;
        return Math.min(share.burst(), permits + seconds * share.requestsPerSecond());
    }
}
