package io.endiveshed.ports.engine;

/**
 * Load of an engine.
 *
 * @param running requests in the batch
 * @param waiting requests that wait in the engine
 * @param usedKvTokens KV memory in use, in tokens
 * @param capacityKvTokens KV memory in all, in tokens
 */
public record EngineLoad(int running, int waiting, long usedKvTokens, long capacityKvTokens) {}
