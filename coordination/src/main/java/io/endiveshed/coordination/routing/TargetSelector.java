package io.endiveshed.coordination.routing;

import io.endiveshed.coordination.membership.TargetView;
import java.util.List;
import java.util.Optional;

/** Strategy that chooses a target for a request. */
@FunctionalInterface
public interface TargetSelector {
    /**
     * Returns the chosen target, or empty if none is usable.
     *
     * @param targets targets that serve the request's model or plain service
     */
    Optional<TargetView> select(RoutingRequest request, List<TargetView> targets);
}
