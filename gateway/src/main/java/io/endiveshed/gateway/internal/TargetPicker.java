package io.endiveshed.gateway.internal;

import io.endiveshed.base.error.Failure;
import io.vavr.control.Either;
import java.util.Set;

/** Picks the target of an attempt. */
interface TargetPicker {
    /**
     * Picks a target and assigns the attempt to it.
     *
     * @param request request to forward
     * @param waitingSinceNanos moment since which the caller waits: arrival of the request, or the last event sent
     * @param excluded targets that have already failed the request
     * @param nowNanos current {@link System#nanoTime}
     * @return the assignment; on the left, the failure to send if no target can take the request
     */
    Either<Failure, Assignment> pick(
            AdmittedRequest request, long waitingSinceNanos, Set<TargetRuntime> excluded, long nowNanos);
}
