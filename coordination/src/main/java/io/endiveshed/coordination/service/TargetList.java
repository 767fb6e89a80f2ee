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

/**
 * The targets that the platform lists, with the information which of them may get new requests. Confined to one thread.
 *
 * <p>The list entries of running targets expire while the store is unavailable and are written again shortly after it is
 * available. A target that is missing from the list then is kept for a grace period; one that is missing at any other
 * time is removed at once. The grace period ends when the platform's bounds hold for the instance again, since the store
 * may have been unavailable for this instance only and the target may really have left. A target that was listed as
 * draining, or has said itself that it leaves, gets no new requests until it has been started again.
 */
public final class TargetList {
    /** Time in nanoseconds after the recovery of the store within which targets write expired list entries again. */
    public static final long RECOVERY_GRACE_NANOS = 2_200_000_000L;

    private final long contactWindowNanos;
    private final Map<InstanceId, TargetInstance> present = new HashMap<>();
    private final Map<InstanceId, Long> missingUntilNanos = new HashMap<>();
    private final Map<InstanceId, Long> drainingStartsMillis = new HashMap<>();
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
    }

    /** Replaces the list; all targets that are not in the new one count as missing. */
    public void replaceAll(Collection<TargetInstance> targets, long nowNanos) {
        Set<InstanceId> listed = new HashSet<>();
        for (TargetInstance target : targets) {
            listed.add(target.id());
            put(target);
        }
        Set<InstanceId> missing = new HashSet<>(present.keySet());
        missing.removeAll(listed);
        missing.forEach(id -> remove(id, nowNanos));
    }

    /** Adds a target or replaces the one with the same id. */
    public void put(TargetInstance target) {
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
            removeNow(id);
        }
    }

    /** Returns the end of the grace period of the missing targets; empty if none is missing. */
    public OptionalLong nextExpiryNanos() {
        return missingUntilNanos.values().stream().mapToLong(Long::longValue).min();
    }

    /** Removes the targets whose grace period is over; returns whether there were any. */
    public boolean removeExpired(long nowNanos) {
        Set<InstanceId> expired = new HashSet<>();
        missingUntilNanos.forEach((id, until) -> {
            if (nowNanos - until >= 0) {
                expired.add(id);
            }
        });
        expired.forEach(this::removeNow);
        return !expired.isEmpty();
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
        return !target.draining() && (drainingStartMillis == null || drainingStartMillis != target.startedMillis());
    }

    private void removeNow(InstanceId id) {
        present.remove(id);
        missingUntilNanos.remove(id);
    }
}
