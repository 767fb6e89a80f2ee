package io.endiveshed.coordination.limit;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.availability.RequestGate;
import io.endiveshed.coordination.availability.TargetStatus;
import io.endiveshed.coordination.service.ColdReading;
import io.endiveshed.coordination.service.ColdStart;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Keeps the requests to one incarnation of a target within this entry's share while the target is cold. Confined to one
 * thread; times are those of a monotonic clock in nanoseconds.
 *
 * <p>A target is cold until the latest of the ends that its sources give. Each is counted from when it was read, which is
 * not before it was written. Requests are counted while the target is warm too, as it may become cold at any time.
 *
 * <pre>{@code
 * gate.observeStart(nowNanos);
 * gate.renewShare(sharing, nowNanos);
 * if (gate.status(nowNanos).isAvailable()) {
 *     gate.acquire(nowNanos);
 * }
 * }</pre>
 */
public final class ColdStartGate implements RequestGate {
    /** Why a target counts as cold. */
    public enum Source {
        STORE,
        RESPONSE,
        START,
        OTHER_ENTRY,
        UNREACHABLE
    }

    /**
     * Time before the first use of a new share. Within two heartbeats, the other entries have lowered theirs.
     */
    private static final long NEW_SHARE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Minimum time for which a target that was unreachable counts as cold; its object is read again in this time. */
    private static final long MIN_RETURN_NANOS = TimeUnit.SECONDS.toNanos(3);

    /**
     * Time after which a target that was unreachable, and to which this entry has no share, is used again. Without an end,
     * the entry would never learn that it answers.
     */
    private static final long MAX_UNREACHABLE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final InstanceId target;
    private final Supplier<ColdStart> coldStart;
    private final Map<Source, Long> endNanos = new EnumMap<>(Source.class);
    private Optional<ColdReading> stored = Optional.empty();
    private long storedVersion;
    private Optional<Long> startNanos = Optional.empty();
    private boolean isUnreachable;
    private ColdShare share = ColdShare.NONE;
    private ColdStart sharedRule = ColdStart.NONE;
    private SharingEntries sharedEntries = SharingEntries.NONE;
    private long shareRenewedNanos;
    private long shareFromNanos;
    private boolean hasSent;
    private long lastSentNanos;
    private boolean wasCold;

    /** Creates the gate of a target whose service has the rule that the supplier returns. */
    public ColdStartGate(InstanceId target, Supplier<ColdStart> coldStart) {
        this.target = target;
        this.coldStart = coldStart;
    }

    /**
     * Records what the object of the target says. An object that was read before is still counted from its first reading.
     * Only one that was written just now shortens the time, since a list may come from an older copy of the store.
     *
     * @param reading what the object says
     * @param version version of the object in the store
     * @param isWritten whether the object was written just now, as opposed to listed
     */
    public void observeStored(ColdReading reading, long version, boolean isWritten) {
        if (version == storedVersion
                && stored.isPresent()
                && stored.get().remainingMillis() == reading.remainingMillis()) {
            return;
        }
        stored = Optional.of(reading);
        storedVersion = version;
        if (isWritten) {
            endNanos.remove(Source.STORE);
        }
        extend(Source.STORE, reading.remainingMillis(), reading.readNanos());
    }

    /** Records that the target said in a response for how many milliseconds it remains cold. */
    public void observeResponse(long remainingMillis, long nowNanos) {
        extend(Source.RESPONSE, remainingMillis, nowNanos);
    }

    /** Records that this entry has seen this incarnation start; later calls do not change the time. */
    public void observeStart(long nowNanos) {
        startNanos = Optional.of(startNanos.orElse(nowNanos));
    }

    /** Records for how many milliseconds the target remains cold according to a peer. */
    public void learn(long remainingMillis, long nowNanos) {
        extend(Source.OTHER_ENTRY, remainingMillis, nowNanos);
    }

    /** Records that the target could not be reached. It may be back, and cold, before its object shows that. */
    public void observeUnreachable(long nowNanos) {
        isUnreachable = true;
        endNanos.put(Source.UNREACHABLE, nowNanos + returnNanos() + MAX_UNREACHABLE_NANOS);
    }

    /** Records that the target has answered. */
    public void observeAnswer(long nowNanos) {
        if (isUnreachable) {
            isUnreachable = false;
            endNanos.put(Source.UNREACHABLE, nowNanos + returnNanos());
        }
    }

    private long returnNanos() {
        return Math.max(MIN_RETURN_NANOS, coldStart.get().duration().toNanos());
    }

    private void extend(Source source, long remainingMillis, long nowNanos) {
        long bounded = Math.max(0, Math.min(ColdStart.MAX_DURATION.toMillis(), remainingMillis));
        long end = nowNanos + TimeUnit.MILLISECONDS.toNanos(bounded);
        endNanos.merge(source, end, (before, now) -> now - before > 0 ? now : before);
    }

    /** Confirms the share of this entry at each heartbeat, after it was computed anew if the rule or the entries changed. */
    public void renewShare(ColdSharing sharing, long nowNanos) {
        ColdStart rule = coldStart.get();
        if (!isShareInForce(nowNanos)) {
            shareFromNanos = sharing.sinceNanos() + NEW_SHARE_DELAY_NANOS;
        }
        if (!rule.equals(sharedRule) || !sharing.entries().equals(sharedEntries)) {
            sharedRule = rule;
            sharedEntries = sharing.entries();
            share = ColdShare.of(rule, sharing.bounds(), target, sharing.self(), sharedEntries);
        }
        shareRenewedNanos = nowNanos;
    }

    /** Returns the share that was computed last. */
    public ColdShare share() {
        return share;
    }

    /** Returns whether the service limits the requests to cold targets. */
    public boolean isLimited() {
        return coldStart.get().isLimited();
    }

    /** Returns whether the target is cold and its requests are limited. */
    public boolean isCold(long nowNanos) {
        return isLimited() && remainingNanos(nowNanos) > 0;
    }

    /** Returns whether the target has become cold or warm since the last call. */
    public boolean hasChanged(long nowNanos) {
        boolean before = wasCold;
        wasCold = isCold(nowNanos);
        return wasCold != before;
    }

    /** Returns the time in milliseconds for which the target remains cold; 0 if it is not. */
    public long remainingMillis(long nowNanos) {
        return toMillis(remainingNanos(nowNanos));
    }

    /**
     * Returns the time in milliseconds for which the target remains cold according to what this entry itself has read. What
     * others have told is not passed on, since it would last longer from entry to entry.
     */
    public long ownRemainingMillis(long nowNanos) {
        long own = 0;
        for (Source source : new Source[] {Source.STORE, Source.RESPONSE, Source.START}) {
            own = Math.max(own, remainingNanos(source, nowNanos));
        }
        return toMillis(own);
    }

    /** Returns the source that gives the longest time. */
    public Source source(long nowNanos) {
        Source longest = Source.STORE;
        for (Source source : Source.values()) {
            if (remainingNanos(source, nowNanos) > remainingNanos(longest, nowNanos)) {
                longest = source;
            }
        }
        return longest;
    }

    private long remainingNanos(long nowNanos) {
        return remainingNanos(source(nowNanos), nowNanos);
    }

    private long remainingNanos(Source source, long nowNanos) {
        Long end = source == Source.START
                ? startNanos
                        .map(start -> start + coldStart.get().duration().toNanos())
                        .orElse(null)
                : endNanos.get(source);
        return end == null ? 0 : Math.max(0, end - nowNanos);
    }

    @Override
    public TargetStatus status(long nowNanos) {
        if (!isCold(nowNanos)) {
            return TargetStatus.AVAILABLE;
        }
        long waitNanos = Math.min(waitNanos(nowNanos), remainingNanos(nowNanos));
        return waitNanos <= 0
                ? TargetStatus.AVAILABLE
                : TargetStatus.unavailable(TargetStatus.Reason.COLD, toMillis(waitNanos));
    }

    /** Returns the time until the next request of this entry, or of another one if this entry has no share. */
    private long waitNanos(long nowNanos) {
        if (!isShareInForce(nowNanos)) {
            return share.meanIntervalNanos();
        }
        long untilInterval = hasSent ? lastSentNanos + share.intervalNanos() - nowNanos : 0;
        return Math.max(shareFromNanos - nowNanos, untilInterval);
    }

    private boolean isShareInForce(long nowNanos) {
        return share.allowsRequests() && nowNanos - shareRenewedNanos <= ColdSharing.LIFETIME_NANOS;
    }

    @Override
    public void acquire(long nowNanos) {
        hasSent = true;
        lastSentNanos = nowNanos;
    }

    private static long toMillis(long nanos) {
        return (nanos + TimeUnit.MILLISECONDS.toNanos(1) - 1) / TimeUnit.MILLISECONDS.toNanos(1);
    }
}
