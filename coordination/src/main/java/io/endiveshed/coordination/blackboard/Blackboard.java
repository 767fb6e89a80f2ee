package io.endiveshed.coordination.blackboard;

import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.membership.FleetView;
import io.endiveshed.coordination.orders.ReplicaOrders;
import io.endiveshed.coordination.orders.ReplicaPlan;

/** The shared cells of one process. Each cell has one controller that writes it. */
public final class Blackboard {
    private final AtomicValue<FleetView> fleet = new AtomicValue<>(FleetView.EMPTY);
    private final AtomicValue<Configuration> configuration = new AtomicValue<>(Configuration.NONE);

    private final AtomicValue<ReplicaPlan> replicaPlan = new AtomicValue<>(ReplicaPlan.NONE);
    private final AtomicValue<ReplicaOrders> replicaOrders = new AtomicValue<>(ReplicaOrders.NONE);

    /** Returns the replicas that operators want; written by the configuration controller. */
    public AtomicValue<ReplicaPlan> replicaPlan() {
        return replicaPlan;
    }

    /** Returns the orders by which replicas are kept; each model's part is written by its replica controller. */
    public AtomicValue<ReplicaOrders> replicaOrders() {
        return replicaOrders;
    }

    /** Returns the targets linked to this process; written by the membership controller. */
    public AtomicValue<FleetView> fleet() {
        return fleet;
    }

    /** Returns the configuration in force; written by the configuration controller. */
    public AtomicValue<Configuration> configuration() {
        return configuration;
    }
}
