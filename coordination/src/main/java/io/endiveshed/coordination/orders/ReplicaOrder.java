package io.endiveshed.coordination.orders;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.ports.engine.EngineOrder;

/**
 * Order to one target, repeated until its effect shows in the fleet.
 *
 * @param target incarnation of the target
 * @param domain failure domain of the target
 * @param order order with the token of the controller's lease
 * @param sinceNanos when the order was first given, on the monotonic clock of the process
 */
public record ReplicaOrder(TargetId target, FailureDomain domain, EngineOrder order, long sinceNanos) {}
