package io.endiveshed.coordination.admission;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.coordination.routing.RoutingRequest;

/**
 * A request that asks to be accepted.
 *
 * @param routing model and length
 * @param account client account that pays for it
 * @param weight weight of the account, at least 1
 * @param remainingNanos time until the caller's deadline, in nanoseconds
 */
public record AdmissionRequest(RoutingRequest routing, ClientAccountId account, int weight, long remainingNanos) {}
