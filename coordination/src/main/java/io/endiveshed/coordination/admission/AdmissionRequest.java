package io.endiveshed.coordination.admission;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.coordination.routing.RoutingRequest;

/**
 * Request that is to be accepted or refused by {@link AdmissionController}.
 *
 * @param routing model and prompt length of the request
 * @param account client account that sent it
 * @param weight weight of the account in the fair share, at least 1
 * @param remainingNanos time until the caller's deadline, in nanoseconds
 */
public record AdmissionRequest(RoutingRequest routing, ClientAccountId account, int weight, long remainingNanos) {}
