package io.endiveshed.coordination.config;

import io.endiveshed.base.id.ServiceName;
import java.time.Duration;
import java.util.List;

/**
 * A plain service that is offered.
 *
 * @param name name in the path of callers
 * @param nonRepeatableRoutes routes such as {@code POST /bookings} whose calls need an idempotency key
 * @param defaultDeadline time allowed to a call that names no deadline
 */
public record ServiceConfig(ServiceName name, List<String> nonRepeatableRoutes, Duration defaultDeadline) {
    /** Copies the list of routes. */
    public ServiceConfig {
        nonRepeatableRoutes = List.copyOf(nonRepeatableRoutes);
    }

    /** Tells whether a call may not be repeated. */
    public boolean isNonRepeatable(String method, String path) {
        return nonRepeatableRoutes.contains(method + " " + path);
    }
}
