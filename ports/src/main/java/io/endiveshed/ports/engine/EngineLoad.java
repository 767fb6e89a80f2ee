package io.endiveshed.ports.engine;

/**
 * Load that an engine reports.
 *
 * @param running number of requests in the batch
 * @param waiting number of requests in the engine's queue
 * @param usedKvTokens used KV cache in tokens
 * @param capacityKvTokens total KV cache in tokens
 */
public record EngineLoad(int running, int waiting, long usedKvTokens, long capacityKvTokens) {}
