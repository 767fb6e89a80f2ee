package io.endiveshed.coordination.membership;

import io.endiveshed.base.id.TargetId;
import io.endiveshed.base.id.TargetKind;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** Immutable snapshot of the targets that a process knows, indexed by what they serve. */
public final class FleetView {
    /** Snapshot without targets. */
    public static final FleetView EMPTY = new FleetView(Map.of());

    private final Map<TargetId, TargetView> targets;
    private final Map<ServedName, List<TargetView>> byServedName;

    private FleetView(Map<TargetId, TargetView> targets) {
        this.targets = targets;
        this.byServedName = index(targets);
    }

    /** Creates a snapshot of the given targets; of several with the same id, the last is used. */
    public static FleetView of(Collection<TargetView> targets) {
        Map<TargetId, TargetView> byId = new LinkedHashMap<>();
        targets.forEach(target -> byId.put(target.id(), target));
        return new FleetView(byId);
    }

    /** Returns all targets. */
    public List<TargetView> targets() {
        return List.copyOf(targets.values());
    }

    /** Returns the target with the given id, if it is known. */
    public Optional<TargetView> target(TargetId id) {
        return Optional.ofNullable(targets.get(id));
    }

    /** Returns the targets that serve the given model or plain service; empty if there are none. */
    public List<TargetView> serving(TargetKind kind, String name) {
        return byServedName.getOrDefault(new ServedName(kind, name), List.of());
    }

    /** Returns a copy of this snapshot in which the target is added or replaces the one with its id. */
    public FleetView with(TargetView target) {
        Map<TargetId, TargetView> copy = new LinkedHashMap<>(targets);
        copy.put(target.id(), target);
        return new FleetView(copy);
    }

    /**
     * Returns a copy of this snapshot with the change applied to one target, or this snapshot if it lacks the target.
     */
    public FleetView change(TargetId id, UnaryOperator<TargetView> change) {
        TargetView current = targets.get(id);
        return current == null ? this : with(change.apply(current));
    }

    /** Returns a copy of this snapshot without the given target. */
    public FleetView without(TargetId id) {
        Map<TargetId, TargetView> copy = new LinkedHashMap<>(targets);
        copy.remove(id);
        return new FleetView(copy);
    }

    private static Map<ServedName, List<TargetView>> index(Map<TargetId, TargetView> targets) {
        Map<ServedName, List<TargetView>> index = new HashMap<>();
        for (TargetView target : targets.values()) {
            for (String name : target.serves()) {
                index.computeIfAbsent(new ServedName(target.kind(), name), key -> new ArrayList<>())
                        .add(target);
            }
        }
        index.replaceAll((name, list) -> List.copyOf(list));
        return index;
    }

    private record ServedName(TargetKind kind, String name) {}
}
