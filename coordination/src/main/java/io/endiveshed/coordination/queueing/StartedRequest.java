package io.endiveshed.coordination.queueing;

/**
 * Request that the queue has started and that is to be sent to the engine.
 *
 * @param request the request, whose KV memory is reserved
 * @param enginePriority priority by which the engine chooses prefill chunks; 0 is the most urgent
 */
public record StartedRequest(QueuedRequest request, int enginePriority) {}
