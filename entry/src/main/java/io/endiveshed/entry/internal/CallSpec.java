package io.endiveshed.entry.internal;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.coordination.routing.RoutingRequest;
import io.endiveshed.protocol.Header;
import java.util.List;

/**
 * A caller's request after it was read and checked.
 *
 * @param routing what routing needs
 * @param account client account that asks
 * @param weight share of the account relative to others, at least 1
 * @param priority 0 is the most urgent
 * @param deadlineMillis time allowed in milliseconds
 * @param method HTTP method at the target
 * @param path HTTP path and query at the target
 * @param headers header fields for the target
 * @param idempotencyKey key of a call that may not be repeated, or empty
 * @param body body for the target
 * @param streaming whether the caller asked for an event stream
 */
public record CallSpec(
        RoutingRequest routing,
        ClientAccountId account,
        int weight,
        int priority,
        long deadlineMillis,
        String method,
        String path,
        List<Header> headers,
        String idempotencyKey,
        byte[] body,
        boolean streaming) {}
