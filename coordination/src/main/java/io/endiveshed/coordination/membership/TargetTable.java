package io.endiveshed.coordination.membership;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.ports.platform.ListedInstance;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.agrona.concurrent.NanoClock;

/**
 * Table of the targets of one entry and their states, maintained from links, load reports and the platform's instance
 * list. Publishes each change of state to the fleet value at once, and loads with the next {@link #tick}.
 *
 * <p>Safe for use by several threads. {@link #tick} must be called at {@link #TICK_INTERVAL}.
 *
 * <pre>{@code
 * TargetTable table = new TargetTable(blackboard.fleet(), SystemNanoClock.INSTANCE, ownLocation);
 * if (!table.add(view)) { link.close(); }
 * table.recordLoadReport(target, load, leaving);
 * }</pre>
 */
public final class TargetTable {
    /** Interval at which {@link #tick} must be called; bounds the age of the published loads. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** Time after which a target without a complete set of links is removed; equal to the read timeout of links. */
    public static final Duration UNLINKED_RETENTION = Duration.ofSeconds(10);

    /** Time for which incarnations that are gone are remembered, so that none of them is added again. */
    public static final Duration GONE_RETENTION = Duration.ofMinutes(10);

    private final AtomicValue<FleetView> fleet;
    private final NanoClock clock;
    private final FailureDetector failureDetector;
    private final Map<InstanceId, TargetRow> rows = new LinkedHashMap<>();
    private final Map<TargetId, Long> goneSince = new LinkedHashMap<>();
    private final Map<InstanceId, Long> listedLeavingSince = new HashMap<>();
    private boolean hasUnpublishedChange;

    /** Creates an empty table for an entry at the given location. */
    public TargetTable(AtomicValue<FleetView> fleet, NanoClock clock, InstanceLocation location) {
        this.fleet = fleet;
        this.clock = clock;
        this.failureDetector = new FailureDetector(location);
    }

    /**
     * Adds a target whose links are complete, or restores it after a loss of links. An earlier incarnation of its
     * instance becomes gone.
     *
     * @return false if this incarnation is already gone, in which case the caller must close its links
     */
    public synchronized boolean add(TargetView target) {
        if (goneSince.containsKey(target.id())) {
            return false;
        }
        long now = clock.nanoTime();
        TargetRow row = rows.get(target.id().instance());
        if (row != null && row.id().equals(target.id())) {
            row.markRelinked(now);
        } else {
            if (row != null) {
                goneSince.put(row.id(), now);
            }
            rows.put(target.id().instance(), new TargetRow(target, now));
        }
        publish();
        return true;
    }

    /** Records that a frame from a target arrived. */
    public synchronized void recordFrame(TargetId target) {
        TargetRow row = row(target);
        if (row != null && row.recordFrame(clock.nanoTime())) {
            publish();
        }
    }

    /** Records a load report. It is published at the next tick, or at once if it changes the target's state. */
    public synchronized void recordLoadReport(TargetId target, TargetLoad load, boolean leaving) {
        TargetRow row = row(target);
        if (row == null) {
            return;
        }
        boolean stateChanged = row.recordFrame(clock.nanoTime());
        row.updateLoad(load);
        hasUnpublishedChange = true;
        if (leaving) {
            stateChanged |= row.markLeaving();
        }
        if (stateChanged) {
            publish();
        }
    }

    /** Marks a target as leaving, after it has announced that it leaves. */
    public synchronized void markLeaving(TargetId target) {
        TargetRow row = row(target);
        if (row != null && row.markLeaving()) {
            publish();
        }
    }

    /** Marks a target as unlinked after the loss of a link; it gets no new requests until it is added again. */
    public synchronized void markUnlinked(TargetId target) {
        TargetRow row = row(target);
        if (row != null && row.isLinked()) {
            row.markUnlinked(clock.nanoTime());
            publish();
        }
    }

    /**
     * Applies the platform's instance list. A leaving flag applies to the incarnation that was in the table when the
     * flag was first seen. Later incarnations of the instance are not affected, because the list lags behind and does
     * not name incarnations.
     */
    public synchronized void applyInstanceList(Collection<ListedInstance> instances) {
        long now = clock.nanoTime();
        Map<InstanceId, ListedInstance> leaving = instances.stream()
                .filter(ListedInstance::leaving)
                .collect(Collectors.toMap(ListedInstance::id, instance -> instance, (first, second) -> first));
        listedLeavingSince.keySet().retainAll(leaving.keySet());
        boolean stateChanged = false;
        for (InstanceId instance : leaving.keySet()) {
            long since = listedLeavingSince.computeIfAbsent(instance, id -> now);
            TargetRow row = rows.get(instance);
            if (row != null && row.addedNanos() - since <= 0) {
                stateChanged |= row.markLeaving();
            }
        }
        if (stateChanged) {
            publish();
        }
    }

    /** Detects unresponsive targets, removes expired ones and publishes loads reported since the previous tick. */
    public synchronized void tick() {
        long now = clock.nanoTime();
        hasUnpublishedChange |= failureDetector.detect(rows.values(), now);
        rows.values().removeIf(row -> isExpired(row, now));
        goneSince.values().removeIf(since -> now - since >= GONE_RETENTION.toNanos());
        if (hasUnpublishedChange) {
            publish();
        }
    }

    /** Returns the state of an incarnation, or {@code GONE} if the table does not hold it. */
    public synchronized TargetState state(TargetId target) {
        TargetRow row = row(target);
        return row == null ? TargetState.GONE : row.state();
    }

    /** Returns the number of incarnations that are remembered as gone. */
    public synchronized int goneCount() {
        return goneSince.size();
    }

    private boolean isExpired(TargetRow row, long now) {
        if (row.isLinked() || now - row.unlinkedNanos() < UNLINKED_RETENTION.toNanos()) {
            return false;
        }
        if (row.state() == TargetState.LEAVING) {
            goneSince.put(row.id(), now);
        }
        return true;
    }

    private TargetRow row(TargetId target) {
        TargetRow row = rows.get(target.instance());
        return row != null && row.id().equals(target) ? row : null;
    }

    private void publish() {
        hasUnpublishedChange = false;
        List<TargetView> linked = rows.values().stream()
                .filter(TargetRow::isLinked)
                .map(TargetRow::view)
                .toList();
        FleetView view = FleetView.of(linked);
        fleet.update(old -> view);
    }
}
