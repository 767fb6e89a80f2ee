package io.endiveshed.ports.engine;

import io.endiveshed.base.id.FencingToken;

/**
 * Order to an engine to change its models, adapters or role.
 *
 * @param action kind of order
 * @param subject name of the model or adapter, version, or role that the action applies to
 * @param token fencing token of the lease under which the order is sent
 */
public record EngineOrder(Action action, String subject, FencingToken token) {
    /** Kinds of order. */
    public enum Action {
        /** Load a model. */
        LOAD_MODEL,
        /** Unload a model. */
        UNLOAD_MODEL,
        /** Load an adapter. */
        LOAD_ADAPTER,
        /** Change the role, such as prefill or decode. */
        CHANGE_ROLE
    }
}
