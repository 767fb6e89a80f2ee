package io.endiveshed.coordination.orders;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.FencingToken;
import io.endiveshed.base.id.ModelName;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.membership.FleetView;
import io.endiveshed.coordination.membership.TargetState;
import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.ports.engine.EngineOrder;
import io.endiveshed.ports.engine.EngineOrder.Action;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.agrona.concurrent.NanoClock;

/**
 * Keeps the number of replicas of one model in each failure domain. Reads the plan and the fleet from the blackboard
 * and writes its orders to it. Acts only while the lease of the model is held. Not safe for use by several threads.
 */
public final class ReplicaController {
    /** Time for which a number must be wrong before it is corrected; longer than a restart of a sidecar. */
    public static final Duration HOLD = Duration.ofSeconds(30);

    /** Time between two corrections in one failure domain. */
    public static final Duration COOLDOWN = Duration.ofSeconds(30);

    /** Time after which an order without effect is given up; longer than a load from the weight store. */
    public static final Duration ORDER_TIMEOUT = Duration.ofMinutes(10);

    /** One correction makes up for at most one part in this number of the difference. */
    private static final int STEP_DIVISOR = 4;

    private final ModelName model;
    private final Supplier<Optional<FencingToken>> lease;
    private final AtomicValue<FleetView> fleetCell;
    private final AtomicValue<ReplicaPlan> planCell;
    private final AtomicValue<ReplicaOrders> ordersCell;
    private final NanoClock clock;
    private final Map<FailureDomain, Long> wrongSince = new HashMap<>();
    private final Map<FailureDomain, Long> correctedAt = new HashMap<>();
    private List<ReplicaOrder> orders = new ArrayList<>();

    /** Makes a controller; the supplier returns the token while the lease of the model is held. */
    public ReplicaController(
            ModelName model,
            Supplier<Optional<FencingToken>> lease,
            AtomicValue<FleetView> fleet,
            AtomicValue<ReplicaPlan> plan,
            AtomicValue<ReplicaOrders> orders,
            NanoClock clock) {
        this.model = model;
        this.lease = lease;
        this.fleetCell = fleet;
        this.planCell = plan;
        this.ordersCell = orders;
        this.clock = clock;
    }

    /** Compares the fleet with the plan; to be called every second or so. */
    public void tick() {
        Optional<FencingToken> token = lease.get();
        if (token.isEmpty()) {
            orders = new ArrayList<>();
            wrongSince.clear();
            correctedAt.clear();
        } else {
            FleetView fleet = fleetCell.read();
            orders.removeIf(order -> isOver(order, fleet, token.get()));
            planCell.read().forModel(model).forEach((domain, wanted) -> correct(domain, wanted, fleet, token.get()));
        }
        List<ReplicaOrder> published = List.copyOf(orders);
        ordersCell.update(all -> all.with(model, published));
    }

    private void correct(FailureDomain domain, int wanted, FleetView fleet, FencingToken token) {
        long now = clock.nanoTime();
        List<TargetView> serving = serving(fleet, domain);
        int missing =
                wanted - serving.size() - ordered(domain, Action.LOAD_MODEL) + ordered(domain, Action.UNLOAD_MODEL);
        if (missing == 0) {
            wrongSince.remove(domain);
            return;
        }
        boolean held = now - wrongSince.computeIfAbsent(domain, key -> now) >= HOLD.toNanos();
        Long last = correctedAt.get(domain);
        if (!held || (last != null && now - last < COOLDOWN.toNanos())) {
            return;
        }
        Action action = missing > 0 ? Action.LOAD_MODEL : Action.UNLOAD_MODEL;
        List<TargetView> candidates = notOrdered(missing > 0 ? spare(fleet, domain) : leastLoaded(serving));
        int step = (Math.abs(missing) + STEP_DIVISOR - 1) / STEP_DIVISOR;
        candidates.stream()
                .limit(step)
                .map(target ->
                        new ReplicaOrder(target.id(), domain, new EngineOrder(action, model.value(), token), now))
                .forEach(orders::add);
        correctedAt.put(domain, now);
    }

    /** Tells whether an order has taken effect, has lost its target or its lease, or was without effect for too long. */
    private boolean isOver(ReplicaOrder order, FleetView fleet, FencingToken token) {
        Optional<TargetView> target = fleet.target(order.target());
        boolean wantsModel = order.order().action() == Action.LOAD_MODEL;
        return target.isEmpty()
                || target.get().state() == TargetState.LEAVING
                || target.get().serves().contains(model.value()) == wantsModel
                || !order.order().token().equals(token)
                || clock.nanoTime() - order.sinceNanos() >= ORDER_TIMEOUT.toNanos();
    }

    private int ordered(FailureDomain domain, Action action) {
        return (int) orders.stream()
                .filter(order -> order.domain().equals(domain) && order.order().action() == action)
                .count();
    }

    /** Suspect targets count, so that a short interruption does not cause loads. */
    private List<TargetView> serving(FleetView fleet, FailureDomain domain) {
        return fleet.serving(TargetKind.ENGINE, model.value()).stream()
                .filter(target -> target.failureDomain().equals(domain))
                .filter(target -> target.state() == TargetState.LIVE || target.state() == TargetState.SUSPECT)
                .toList();
    }

    /** Returns engines without a model, of which no controller of this process has ordered anything. */
    private List<TargetView> spare(FleetView fleet, FailureDomain domain) {
        Set<TargetId> taken = ordersCell.read().byModel().values().stream()
                .flatMap(List::stream)
                .map(ReplicaOrder::target)
                .collect(Collectors.toSet());
        return fleet.targets().stream()
                .filter(target -> target.kind() == TargetKind.ENGINE
                        && target.serves().isEmpty()
                        && target.state() == TargetState.LIVE
                        && target.failureDomain().equals(domain)
                        && !taken.contains(target.id()))
                .toList();
    }

    private static List<TargetView> leastLoaded(List<TargetView> serving) {
        return serving.stream()
                .sorted(Comparator.comparingInt(
                        target -> target.load().running() + target.load().queued()))
                .toList();
    }

    private List<TargetView> notOrdered(List<TargetView> candidates) {
        return candidates.stream()
                .filter(target ->
                        orders.stream().noneMatch(order -> order.target().equals(target.id())))
                .toList();
    }
}
