package io.endiveshed.coordination.admission;

import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.coordination.routing.OutstandingWork;
import io.endiveshed.coordination.routing.TargetHealth;
import java.util.List;
import java.util.Optional;

/**
 * Proposes to move an attempt that waits on a loaded target to the least loaded target. Thread-safe.
 *
 * <p>A bounded number of moves for each arrival keeps the loads near the best assignment for every p-norm at once:
 * Bernstein, Kopelowitz, Pettie, Porat and Stein, "Simultaneously Load Balancing for Every p-norm, With Reassignments",
 * ITCS 2017. This class is a greedy variant of that algorithm; the bound in the paper does not hold for it.
 */
final class ReassignmentPolicy {
    /** Minimum difference in backlog that justifies sending the prompt again, in nanoseconds. */
    private static final long MIN_GAIN_NANOS = 1_000_000_000L;
    /** Maximum number of attempts that are examined for a proposal; limits the time spent for each arrival. */
    private static final int MAX_EXAMINED_ATTEMPTS = 256;

    private final OutstandingWork outstanding;
    private final TargetHealth health;

    ReassignmentPolicy(OutstandingWork outstanding, TargetHealth health) {
        this.outstanding = outstanding;
        this.health = health;
    }

    /** Proposes the move with the largest gain, or none if no gain is above {@link #MIN_GAIN_NANOS}. */
    Optional<ProposedMove> propose(Iterable<DispatchedAttempt> waiting, List<TargetView> targets) {
        TargetView destination = leastLoaded(targets);
        if (destination == null) {
            return Optional.empty();
        }
        long least = backlogNanos(destination);
        DispatchedAttempt best = null;
        long bestGainNanos = MIN_GAIN_NANOS;
        int examined = 0;
        for (DispatchedAttempt attempt : waiting) {
            if (++examined > MAX_EXAMINED_ATTEMPTS) {
                break;
            }
            long others = outstanding.estimate(attempt.target()).totalNanos()
                    - attempt.choice().work().totalNanos();
            if (others - least > bestGainNanos && attempt.isMovable()) {
                best = attempt;
                bestGainNanos = others - least;
            }
        }
        return best != null && best.markMoveProposed()
                ? Optional.of(new ProposedMove(best, destination))
                : Optional.empty();
    }

    private TargetView leastLoaded(List<TargetView> targets) {
        TargetView least = null;
        for (TargetView target : health.usableTargets(targets)) {
            if (least == null || backlogNanos(target) < backlogNanos(least)) {
                least = target;
            }
        }
        return least;
    }

    private long backlogNanos(TargetView target) {
        return outstanding.estimate(target.id()).totalNanos();
    }
}
