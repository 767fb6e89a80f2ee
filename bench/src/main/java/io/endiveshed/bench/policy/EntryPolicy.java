package io.endiveshed.bench.policy;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.admission.AdmissionRequest;
import io.endiveshed.coordination.admission.Ticket;
import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.coordination.retry.FailedAttempt;
import io.endiveshed.coordination.routing.WorkReport;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** What the harness compares: the decisions of one entry. */
interface EntryPolicy {
    /** A chosen target; the ticket is null under a baseline. */
    record Placement(TargetId target, Ticket ticket) {}

    Either<Failure, Placement> place(AdmissionRequest request, List<TargetView> targets);

    Optional<Placement> retry(
            AdmissionRequest request, FailedAttempt failed, TargetId failedTarget, List<TargetView> targets);

    void firstToken(SimAttempt attempt, FakeEngine.Prefill prefill);

    void finished(SimAttempt attempt, boolean timedOut);

    void reported(TargetId target, WorkReport report);

    void lost(TargetId target);

    void gone(TargetId target);
}
