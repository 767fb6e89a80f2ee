package io.endiveshed.coordination.orders;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.ports.engine.EngineOrder;

/**
 * Order to one target, which is repeated until the fleet view shows its effect.
 *
 * @param target instance and incarnation of the target
 * @param domain failure domain of the target
 * @param order order with the fencing token of the controller's lease
 * @param sinceNanos time at which the order was first given, in nanoseconds on the monotonic clock of the process
 */
public record ReplicaOrder(TargetId target, FailureDomain domain, EngineOrder order, long sinceNanos) {}
