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
 * @param offerings places where the service is offered; empty for everywhere at all hours
 * @param keyRetention how long the result of an idempotency key is kept
 */
public record ServiceConfig(
        ServiceName name,
        List<String> nonRepeatableRoutes,
        Duration defaultDeadline,
        List<Offering> offerings,
        Duration keyRetention) {
    /** Default time for which the result of an idempotency key is kept. */
    public static final Duration DEFAULT_KEY_RETENTION = Duration.ofHours(24);

    /** Copies the lists. */
    public ServiceConfig {
        nonRepeatableRoutes = List.copyOf(nonRepeatableRoutes);
        offerings = List.copyOf(offerings);
    }

    /** Makes a service that is offered everywhere at all hours. */
    public ServiceConfig(ServiceName name, List<String> nonRepeatableRoutes, Duration defaultDeadline) {
        this(name, nonRepeatableRoutes, defaultDeadline, List.of(), DEFAULT_KEY_RETENTION);
    }

    /** Tells whether a call may not be repeated. */
    public boolean isNonRepeatable(String method, String path) {
        return nonRepeatableRoutes.contains(method + " " + path);
    }
}
