package io.endiveshed.coordination.engine;

import java.util.List;

/**
 * Where a prompt is read and written.
 *
 * @param primary engine that gets the request and writes the answer
 * @param helpers engines that read parts of the prompt; empty if the first reads it alone
 * @param holderCount number of helpers, from the first one, that also hold a part of the prompt in memory
 * @param partTokens tokens that the first engine and each holder hold
 * @param prefillMillis time in milliseconds for which each of them reads
 * @param firstEventMillis predicted time in milliseconds until the first event
 * @param cost what callers lose by it, in the unit of {@link PromptRequest#weight}
 */
public record EnginePlacement(
        EngineCandidate primary,
        List<EngineCandidate> helpers,
        int holderCount,
        long partTokens,
        double prefillMillis,
        double firstEventMillis,
        double cost) {}
