package io.endiveshed.coordination.config;

import io.endiveshed.base.id.ServiceName;
import java.time.Duration;
import java.util.List;

/**
 * Configuration of a plain service.
 *
 * @param name name of the service in the request paths of callers
 * @param nonRepeatableRoutes routes such as {@code POST /bookings} whose calls need an idempotency key
 * @param defaultDeadline time limit of a call that names no deadline
 * @param offerings locations and hours at which the service is offered; empty for all locations at all hours
 * @param keyRetention time for which the result of a call with an idempotency key is kept
 */
public record ServiceConfig(
        ServiceName name,
        List<String> nonRepeatableRoutes,
        Duration defaultDeadline,
        List<Offering> offerings,
        Duration keyRetention) {
    /** Default time for which the result of a call with an idempotency key is kept. */
    public static final Duration DEFAULT_KEY_RETENTION = Duration.ofHours(24);

    /** Creates a service with unmodifiable copies of the lists. */
    public ServiceConfig {
        nonRepeatableRoutes = List.copyOf(nonRepeatableRoutes);
        offerings = List.copyOf(offerings);
    }

    /** Creates a service that is offered at all locations and hours, with the default key retention. */
    public ServiceConfig(ServiceName name, List<String> nonRepeatableRoutes, Duration defaultDeadline) {
        this(name, nonRepeatableRoutes, defaultDeadline, List.of(), DEFAULT_KEY_RETENTION);
    }

    /** Returns whether calls with the given method and path must not be repeated. */
    public boolean isNonRepeatable(String method, String path) {
        return nonRepeatableRoutes.contains(method + " " + path);
    }
}
