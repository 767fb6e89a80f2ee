package io.endiveshed.coordination.orders;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.ModelName;
import java.util.Map;

/**
 * Number of replicas that operators want.
 *
 * @param replicas number by model and failure domain; domains that are not named are left alone
 */
public record ReplicaPlan(Map<ModelName, Map<FailureDomain, Integer>> replicas) {
    /** A plan that leaves every model alone. */
    public static final ReplicaPlan NONE = new ReplicaPlan(Map.of());

    /** Copies the maps. */
    public ReplicaPlan {
        replicas = Map.copyOf(replicas);
    }

    /** Returns the numbers for a model. */
    public Map<FailureDomain, Integer> forModel(ModelName model) {
        return replicas.getOrDefault(model, Map.of());
    }
}
