package io.endiveshed.coordination.blackboard;

import io.endiveshed.coordination.cell.Cell;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.membership.FleetView;
import io.endiveshed.coordination.orders.ReplicaOrders;
import io.endiveshed.coordination.orders.ReplicaPlan;

/** The shared cells of one process. Each cell has one controller that writes it. */
public final class Blackboard {
    private final Cell<FleetView> fleet = new Cell<>(FleetView.EMPTY);
    private final Cell<Configuration> configuration = new Cell<>(Configuration.NONE);

    private final Cell<ReplicaPlan> replicaPlan = new Cell<>(ReplicaPlan.NONE);
    private final Cell<ReplicaOrders> replicaOrders = new Cell<>(ReplicaOrders.NONE);

    /** Returns the replicas that operators want; written by the configuration controller. */
    public Cell<ReplicaPlan> replicaPlan() {
        return replicaPlan;
    }

    /** Returns the orders by which replicas are kept; each model's part is written by its replica controller. */
    public Cell<ReplicaOrders> replicaOrders() {
        return replicaOrders;
    }

    /** Returns the targets linked to this process; written by the membership controller. */
    public Cell<FleetView> fleet() {
        return fleet;
    }

    /** Returns the configuration in force; written by the configuration controller. */
    public Cell<Configuration> configuration() {
        return configuration;
    }
}
