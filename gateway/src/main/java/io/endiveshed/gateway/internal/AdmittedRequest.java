package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.service.ClientAccount;
import io.endiveshed.coordination.service.RouteRule;
import io.endiveshed.coordination.service.ServiceRule;
import io.endiveshed.gateway.CallerRequest;
import java.util.Optional;

/**
 * Request that passed the access check and may be forwarded. Moments are values of {@link System#nanoTime}.
 *
 * @param caller decoded request of the caller
 * @param route route of the request
 * @param service service that was selected from the route
 * @param account client account of the request's key
 * @param arrivedNanos moment at which the request arrived
 * @param deadlineNanos moment after which the response is no longer waited for
 */
record AdmittedRequest(
        CallerRequest caller,
        RouteRule route,
        ServiceRule service,
        Optional<ClientAccount> account,
        long arrivedNanos,
        long deadlineNanos) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns the time until the deadline in milliseconds; negative if it has passed. */
    double remainingMillis(long nowNanos) {
        return (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
    }

    /** Returns the time since the arrival in milliseconds. */
    double elapsedMillis(long nowNanos) {
        return (nowNanos - arrivedNanos) / NANOS_PER_MILLI;
    }

    /** Returns the priority of the client account, or that of the route if the account has none; 0 is most urgent. */
    int priority() {
        return account.map(holder -> holder.priority().orElse(route.priority())).orElse(route.priority());
    }
}
