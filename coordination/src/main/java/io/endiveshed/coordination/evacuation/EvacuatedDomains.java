package io.endiveshed.coordination.evacuation;

import io.endiveshed.base.id.FailureDomain;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * The failure domains that the operator has evacuated. What was read last stays in force until something newer is read.
 * Confined to one thread; times are those of a monotonic clock in nanoseconds.
 *
 * <p>The store may be restored from a backup that is some seconds old. An evacuation that only the copy lacks stays in force
 * until it is lifted, or for a while if nobody writes it again. One that was lifted and that the copy shows takes effect
 * if it is written again, or is still there when the operator has had the time to delete it.
 *
 * <pre>{@code
 * EvacuatedDomains domains = new EvacuatedDomains();
 * domains.replaceAll(Set.of(new FailureDomain("north")), System.nanoTime());
 * boolean isEvacuated = domains.isEvacuated(new FailureDomain("north"));
 * }</pre>
 */
public final class EvacuatedDomains {
    /**
     * Time in nanoseconds for which an evacuation stays in force that a copy lacks and nobody writes again. The operator
     * writes its objects again within 1 s, so only a lift that this process has not seen ends so late; a shorter time
     * would let an older copy lift an evacuation.
     */
    public static final long LOST_OBJECT_HOLD_NANOS = 60_000_000_000L;

    /**
     * Time in nanoseconds after which an evacuation that was lifted and that a copy shows takes effect. The operator
     * writes its objects again within it, and it is short against the time in which an evacuation must be in force.
     */
    public static final long RETURNED_OBJECT_DOUBT_NANOS = 1_000_000_000L;

    /** Maximum age in nanoseconds of a copy to which the store returns; such copies are some seconds old. */
    private static final long MAX_COPY_AGE_NANOS = 60_000_000_000L;

    private final Set<FailureDomain> stored = new HashSet<>();
    private final Map<FailureDomain, Long> heldUntilNanos = new HashMap<>();
    private final Map<FailureDomain, Long> doubtedUntilNanos = new HashMap<>();
    private final Map<FailureDomain, Long> liftedAtNanos = new HashMap<>();
    private boolean isRead;
    private boolean isRestored;

    /** Returns whether the evacuations were read at least once. */
    public boolean isRead() {
        return isRead;
    }

    /** Returns whether the targets of a domain may get no new work. */
    public boolean isEvacuated(FailureDomain domain) {
        return heldUntilNanos.containsKey(domain)
                || (stored.contains(domain) && !doubtedUntilNanos.containsKey(domain));
    }

    /** Returns a copy of the set of the evacuated domains. */
    public Set<FailureDomain> evacuated() {
        Set<FailureDomain> evacuated = new HashSet<>(stored);
        evacuated.removeAll(doubtedUntilNanos.keySet());
        evacuated.addAll(heldUntilNanos.keySet());
        return Set.copyOf(evacuated);
    }

    /** Records that the store was restored from a backup; the next list may be that of the backup. */
    public void storeRestored() {
        isRestored = true;
    }

    /** Replaces the evacuations by those that the store lists. */
    public void replaceAll(Set<FailureDomain> listed, long nowNanos) {
        Set<FailureDomain> before = evacuated();
        if (isRestored) {
            before.stream()
                    .filter(domain -> !listed.contains(domain))
                    .forEach(domain -> heldUntilNanos.put(domain, nowNanos + LOST_OBJECT_HOLD_NANOS));
            listed.stream()
                    .filter(domain -> !before.contains(domain) && wasLifted(domain, nowNanos))
                    .forEach(domain -> doubtedUntilNanos.put(domain, nowNanos + RETURNED_OBJECT_DOUBT_NANOS));
        } else {
            stored.stream()
                    .filter(domain -> !listed.contains(domain))
                    .forEach(domain -> liftedAtNanos.put(domain, nowNanos));
        }
        stored.clear();
        stored.addAll(listed);
        heldUntilNanos.keySet().removeAll(listed);
        doubtedUntilNanos.keySet().retainAll(listed);
        liftedAtNanos.values().removeIf(at -> nowNanos - at > MAX_COPY_AGE_NANOS);
        isRestored = false;
        isRead = true;
    }

    /** Records that the operator has written the evacuation of a domain. */
    public void put(FailureDomain domain) {
        stored.add(domain);
        heldUntilNanos.remove(domain);
        doubtedUntilNanos.remove(domain);
        liftedAtNanos.remove(domain);
    }

    /** Records that the operator has deleted the evacuation of a domain, which lifts it. */
    public void remove(FailureDomain domain, long nowNanos) {
        stored.remove(domain);
        heldUntilNanos.remove(domain);
        doubtedUntilNanos.remove(domain);
        liftedAtNanos.put(domain, nowNanos);
    }

    /** Returns the next time at which {@link #expire} changes an evacuation; empty if there is none. */
    public OptionalLong nextExpiryNanos() {
        return LongStream.concat(
                        heldUntilNanos.values().stream().mapToLong(Long::longValue),
                        doubtedUntilNanos.values().stream().mapToLong(Long::longValue))
                .min();
    }

    /** Ends the evacuations, and the unconfirmed ones, whose time is over. */
    public void expire(long nowNanos) {
        heldUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
        doubtedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
    }

    private boolean wasLifted(FailureDomain domain, long nowNanos) {
        Long at = liftedAtNanos.get(domain);
        return at != null && nowNanos - at <= MAX_COPY_AGE_NANOS;
    }
}
