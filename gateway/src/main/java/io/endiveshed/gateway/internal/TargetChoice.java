package io.endiveshed.gateway.internal;

import io.endiveshed.base.error.Failure;
import io.vavr.control.Either;
import java.util.Set;

/** Chooses the target of an attempt. */
interface TargetChoice {
    /**
     * Chooses a target.
     *
     * @param request the request
     * @param waitingSinceNanos moment since which the caller waits: its arrival, or the last event that it got
     * @param excluded targets that have failed the request
     * @param nowNanos the present
     * @return the choice; on the left is the refusal
     */
    Either<Failure, Assignment> choose(
            RequestState request, long waitingSinceNanos, Set<TargetRuntime> excluded, long nowNanos);
}
