package io.endiveshed.coordination.orders;

import io.endiveshed.base.id.ModelName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Orders of all replica controllers of this process.
 *
 * @param byModel orders of the controller of each model
 */
public record ReplicaOrders(Map<ModelName, List<ReplicaOrder>> byModel) {
    /** No orders. */
    public static final ReplicaOrders NONE = new ReplicaOrders(Map.of());

    /** Copies the map. */
    public ReplicaOrders {
        byModel = Map.copyOf(byModel);
    }

    /** Returns the orders for a model. */
    public List<ReplicaOrder> forModel(ModelName model) {
        return byModel.getOrDefault(model, List.of());
    }

    /** Returns these orders with those of one model replaced. */
    public ReplicaOrders with(ModelName model, List<ReplicaOrder> orders) {
        Map<ModelName, List<ReplicaOrder>> copy = new HashMap<>(byModel);
        copy.put(model, List.copyOf(orders));
        return new ReplicaOrders(copy);
    }
}
