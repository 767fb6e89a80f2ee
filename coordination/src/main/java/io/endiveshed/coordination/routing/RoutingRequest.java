package io.endiveshed.coordination.routing;

import io.endiveshed.base.id.TargetKind;

/**
 * Properties of a request that routing depends on.
 *
 * @param kind kind of target: engine or plain service
 * @param name name of the model or plain service
 * @param promptTokens estimated prompt length in tokens; 0 for a plain service
 * @param maxTokens maximum number of tokens to generate; 0 for a plain service
 * @param prefixKey hash of the part of the prompt that is likely to be shared, such as the system message, or {@link
 *     #NO_PREFIX}
 * @param prefixTokens estimated length of that part in tokens
 */
public record RoutingRequest(
        TargetKind kind, String name, long promptTokens, long maxTokens, long prefixKey, long prefixTokens) {
    /** Prefix key of a request whose prefix is unknown. */
    public static final long NO_PREFIX = 0;

    /** Creates a request whose prefix is unknown. */
    public RoutingRequest(TargetKind kind, String name, long promptTokens, long maxTokens) {
        this(kind, name, promptTokens, maxTokens, NO_PREFIX, 0);
    }

    /** Returns the maximum KV memory that the request can need, in tokens. */
    public long kvTokens() {
        return promptTokens + maxTokens;
    }
}
