package io.endiveshed.coordination.service;

import io.endiveshed.base.id.InstanceId;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * The targets that the platform lists, with the information which of them may get new requests. Confined to one thread.
 *
 * <p>The list entries of running targets expire while the store is unavailable and are written again shortly after it is
 * available. A target that is missing from the list then is kept for a grace period; one that is missing at any other
 * time is removed at once. The grace period ends when the platform's bounds hold for the instance again, since the store
 * may have been unavailable for this instance only and the target may really have left. A target that was listed as
 * draining, or has said itself that it leaves, gets no new requests until it has been started again.
 *
 * <p>The store may come back from a copy that is some seconds old and shows targets as ready that have left since. One
 * that had been removed gets no new requests until it writes its entry again, or is still listed after a while.
 */
public final class TargetList {
    /** Time in nanoseconds after the recovery of the store within which targets write expired list entries again. */
    public static final long RECOVERY_GRACE_NANOS = 2_200_000_000L;

    /**
     * Time in nanoseconds after which a target that had been removed before the store was restored counts as alive. The
     * platform removes the entries of targets that are silent for three heartbeats, 3.6 s on the known installations.
     */
    private static final long SILENT_ENTRY_NANOS = 5_000_000_000L;

    /** Maximum age in nanoseconds of a copy to which the store returns; such copies are some seconds old. */
    private static final long MAX_COPY_AGE_NANOS = 60_000_000_000L;

    private final long contactWindowNanos;
    private final Map<InstanceId, TargetInstance> present = new HashMap<>();
    private final Map<InstanceId, Long> missingUntilNanos = new HashMap<>();
    private final Map<InstanceId, Long> drainingStartsMillis = new HashMap<>();
    private final Map<InstanceId, Removal> removals = new HashMap<>();
    private final Map<InstanceId, Distrust> distrusts = new HashMap<>();
    private boolean isRestored;
    private OptionalLong graceEndNanos = OptionalLong.empty();

    /** Creates an empty list; the bounds hold again when the contact window has passed since the end of a failure. */
    public TargetList(Duration contactWindow) {
        contactWindowNanos = contactWindow.toNanos();
    }

    /**
     * Records that the store answers again after a failure.
     *
     * @param lastFailureNanos start of the last call that failed; the store was unavailable until then or longer
     */
    public void storeRegained(long lastFailureNanos, long nowNanos) {
        long untilBoundsHold = lastFailureNanos + contactWindowNanos - nowNanos;
        graceEndNanos = OptionalLong.of(nowNanos + Math.min(RECOVERY_GRACE_NANOS, untilBoundsHold));
    }

    /**
     * Records that the store has come back from an older copy. Targets that the copy does not have write their entries
     * again, also if no call has failed meanwhile.
     */
    public void storeRestored(long nowNanos) {
        graceEndNanos = OptionalLong.of(nowNanos + Math.min(RECOVERY_GRACE_NANOS, contactWindowNanos));
        isRestored = true;
    }

    /** Replaces the list; all targets that are not in the new one count as missing. */
    public void replaceAll(Collection<TargetInstance> targets, long nowNanos) {
        Set<InstanceId> listed = new HashSet<>();
        for (TargetInstance target : targets) {
            listed.add(target.id());
            if (isRestored && wasRemoved(target, nowNanos)) {
                distrusts.put(target.id(), new Distrust(target.startedMillis(), nowNanos + SILENT_ENTRY_NANOS));
            }
            keep(target);
        }
        isRestored = false;
        Set<InstanceId> missing = new HashSet<>(present.keySet());
        missing.removeAll(listed);
        missing.forEach(id -> remove(id, nowNanos));
    }

    /** Adds a target that has written its entry, or replaces the one with the same id. */
    public void put(TargetInstance target) {
        distrusts.remove(target.id());
        keep(target);
    }

    private void keep(TargetInstance target) {
        missingUntilNanos.remove(target.id());
        present.put(target.id(), target);
        if (target.draining()) {
            drainingStartsMillis.put(target.id(), target.startedMillis());
        }
    }

    /** Records that a target has said itself that it leaves, whatever the list says until it is started again. */
    public void markLeaving(TargetInstance target) {
        drainingStartsMillis.put(target.id(), target.startedMillis());
    }

    /** Removes a target that is no longer listed, after the grace period if one is running. */
    public void remove(InstanceId id, long nowNanos) {
        if (!present.containsKey(id)) {
            return;
        }
        if (graceEndNanos.isPresent() && nowNanos - graceEndNanos.getAsLong() < 0) {
            missingUntilNanos.putIfAbsent(id, graceEndNanos.getAsLong());
        } else {
            removeNow(id, nowNanos);
        }
    }

    /** Returns the next time at which a missing target is removed or a listed one is used again; empty if there is none. */
    public OptionalLong nextExpiryNanos() {
        return LongStream.concat(
                        missingUntilNanos.values().stream().mapToLong(Long::longValue),
                        distrusts.values().stream().mapToLong(Distrust::untilNanos))
                .min();
    }

    /**
     * Removes the targets whose grace period is over, and trusts those that are still listed after a while; returns
     * whether there were any.
     */
    public boolean removeExpired(long nowNanos) {
        Set<InstanceId> expired = new HashSet<>();
        missingUntilNanos.forEach((id, until) -> {
            if (nowNanos - until >= 0) {
                expired.add(id);
            }
        });
        expired.forEach(id -> removeNow(id, nowNanos));
        boolean isAnyTrusted = distrusts.values().removeIf(distrust -> nowNanos - distrust.untilNanos >= 0);
        return isAnyTrusted || !expired.isEmpty();
    }

    /** Returns the listed targets and the missing ones in their grace period, as a live view. */
    public Collection<TargetInstance> targets() {
        return present.values();
    }

    /** Returns the target with the given id. */
    public Optional<TargetInstance> target(InstanceId id) {
        return Optional.ofNullable(present.get(id));
    }

    /** Returns whether a target may get new requests. */
    public boolean isUsable(TargetInstance target) {
        Long drainingStartMillis = drainingStartsMillis.get(target.id());
        Distrust distrust = distrusts.get(target.id());
        return !target.draining()
                && (distrust == null || distrust.startedMillis != target.startedMillis())
                && (drainingStartMillis == null || drainingStartMillis != target.startedMillis());
    }

    private boolean wasRemoved(TargetInstance target, long nowNanos) {
        Removal removal = removals.get(target.id());
        return removal != null
                && removal.startedMillis == target.startedMillis()
                && nowNanos - removal.atNanos <= MAX_COPY_AGE_NANOS;
    }

    private void removeNow(InstanceId id, long nowNanos) {
        TargetInstance removed = present.remove(id);
        missingUntilNanos.remove(id);
        distrusts.remove(id);
        removals.values().removeIf(removal -> nowNanos - removal.atNanos > MAX_COPY_AGE_NANOS);
        removals.put(id, new Removal(removed.startedMillis(), nowNanos));
    }

    /**
     * Removal of a target from the list.
     *
     * @param startedMillis Unix time of its start in milliseconds
     * @param atNanos time of the removal in nanoseconds
     */
    private record Removal(long startedMillis, long atNanos) {}

    /**
     * Doubt whether a target that is listed again is still there.
     *
     * @param startedMillis Unix time of its start in milliseconds
     * @param untilNanos time in nanoseconds after which it is used if it is still listed
     */
    private record Distrust(long startedMillis, long untilNanos) {}
}
