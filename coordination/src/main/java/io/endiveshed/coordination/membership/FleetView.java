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

/** Immutable view of the targets that a process knows. */
public final class FleetView {
    /** A view without targets. */
    public static final FleetView EMPTY = new FleetView(Map.of());

    private final Map<TargetId, TargetView> targets;
    private final Map<Served, List<TargetView>> byName;

    private FleetView(Map<TargetId, TargetView> targets) {
        this.targets = targets;
        this.byName = index(targets);
    }

    /** Makes a view of the given targets. */
    public static FleetView of(Collection<TargetView> targets) {
        Map<TargetId, TargetView> byId = new LinkedHashMap<>();
        targets.forEach(target -> byId.put(target.id(), target));
        return new FleetView(byId);
    }

    /** Returns all targets. */
    public List<TargetView> targets() {
        return List.copyOf(targets.values());
    }

    /** Returns a target. */
    public Optional<TargetView> target(TargetId id) {
        return Optional.ofNullable(targets.get(id));
    }

    /** Returns the targets that serve a model or a plain service. */
    public List<TargetView> serving(TargetKind kind, String name) {
        return byName.getOrDefault(new Served(kind, name), List.of());
    }

    /** Returns this view with a target added or replaced. */
    public FleetView with(TargetView target) {
        Map<TargetId, TargetView> copy = new LinkedHashMap<>(targets);
        copy.put(target.id(), target);
        return new FleetView(copy);
    }

    /** Returns this view with one target changed; unknown targets are ignored. */
    public FleetView change(TargetId id, UnaryOperator<TargetView> change) {
        TargetView current = targets.get(id);
        return current == null ? this : with(change.apply(current));
    }

    /** Returns this view without a target. */
    public FleetView without(TargetId id) {
        Map<TargetId, TargetView> copy = new LinkedHashMap<>(targets);
        copy.remove(id);
        return new FleetView(copy);
    }

    private static Map<Served, List<TargetView>> index(Map<TargetId, TargetView> targets) {
        Map<Served, List<TargetView>> index = new HashMap<>();
        for (TargetView target : targets.values()) {
            for (String name : target.serves()) {
                index.computeIfAbsent(new Served(target.kind(), name), key -> new ArrayList<>())
                        .add(target);
            }
        }
        index.replaceAll((name, list) -> List.copyOf(list));
        return index;
    }

    private record Served(TargetKind kind, String name) {}
}
