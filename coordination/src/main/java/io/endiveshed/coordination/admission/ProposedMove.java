package io.endiveshed.coordination.admission;

import io.endiveshed.coordination.membership.TargetView;

/**
 * Proposal to move an attempt that has not started yet to another target.
 *
 * @param ticket the attempt, on its current target
 * @param destination target on which it would finish earlier
 */
public record ProposedMove(DispatchedAttempt ticket, TargetView destination) {}
