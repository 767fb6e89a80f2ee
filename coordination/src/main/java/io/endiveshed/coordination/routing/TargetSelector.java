package io.endiveshed.coordination.routing;

import io.endiveshed.coordination.membership.TargetView;
import java.util.List;
import java.util.Optional;

/** Strategy that chooses a target. */
@FunctionalInterface
public interface TargetSelector {
    /** Chooses one of the targets, all of which serve the request's name, or none. */
    Optional<TargetView> select(RoutingRequest request, List<TargetView> targets);
}
