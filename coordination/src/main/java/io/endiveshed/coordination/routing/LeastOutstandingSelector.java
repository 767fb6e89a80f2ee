package io.endiveshed.coordination.routing;

import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.membership.TargetState;
import io.endiveshed.coordination.membership.TargetView;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

/** Chooses the live target with the fewest outstanding requests of this process. */
public final class LeastOutstandingSelector implements TargetSelector {
    private final ToIntFunction<TargetId> outstanding;

    /** Creates a selector that reads the number of outstanding requests per target from a function. */
    public LeastOutstandingSelector(ToIntFunction<TargetId> outstanding) {
        this.outstanding = outstanding;
    }

    @Override
    public Optional<TargetView> select(RoutingRequest request, List<TargetView> targets) {
        return targets.stream()
                .filter(target -> target.state() == TargetState.LIVE)
                .min(Comparator.comparingInt(target -> outstanding.applyAsInt(target.id())));
    }
}
