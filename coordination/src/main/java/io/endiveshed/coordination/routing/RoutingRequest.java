package io.endiveshed.coordination.routing;

import io.endiveshed.base.id.TargetKind;

/**
 * What routing needs to know of a request.
 *
 * @param kind engine or plain service
 * @param name model or service
 * @param promptTokens estimated prompt length in tokens; 0 for a plain service
 * @param maxTokens most tokens to generate; 0 for a plain service
 */
public record RoutingRequest(TargetKind kind, String name, long promptTokens, long maxTokens) {}
