package io.endiveshed.coordination.service;

import io.endiveshed.base.id.ServiceName;

/**
 * Part of a route's requests that goes to one service.
 *
 * @param service the service
 * @param weight part relative to the weights of the route's other services, at least 0
 */
public record WeightedService(ServiceName service, int weight) {}
