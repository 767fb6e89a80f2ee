package io.endiveshed.coordination.blackboard;

import io.endiveshed.coordination.cell.Cell;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.membership.FleetView;

/** The shared cells of one process. Each cell has one controller that writes it. */
public final class Blackboard {
    private final Cell<FleetView> fleet = new Cell<>(FleetView.EMPTY);
    private final Cell<Configuration> configuration = new Cell<>(Configuration.NONE);

    /** Returns the targets linked to this process; written by the membership controller. */
    public Cell<FleetView> fleet() {
        return fleet;
    }

    /** Returns the configuration in force; written by the configuration controller. */
    public Cell<Configuration> configuration() {
        return configuration;
    }
}
