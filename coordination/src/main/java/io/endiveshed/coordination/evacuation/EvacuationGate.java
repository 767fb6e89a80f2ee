package io.endiveshed.coordination.evacuation;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.coordination.availability.RequestGate;
import io.endiveshed.coordination.availability.TargetStatus;
import java.util.function.Supplier;

/**
 * Keeps new work away from a target while its failure domain is evacuated, and until the evacuations have been read for
 * the first time. An evacuation has no known end, so the status names no wait.
 */
public final class EvacuationGate implements RequestGate {
    private static final TargetStatus EVACUATED = TargetStatus.unavailable(TargetStatus.Reason.EVACUATED, 0);
    private static final TargetStatus UNREAD = TargetStatus.unavailable(TargetStatus.Reason.EVACUATIONS_UNREAD, 0);

    private final EvacuatedDomains domains;
    private final Supplier<FailureDomain> domain;

    /** Creates the gate of a target whose failure domain is the given one. */
    public EvacuationGate(EvacuatedDomains domains, Supplier<FailureDomain> domain) {
        this.domains = domains;
        this.domain = domain;
    }

    @Override
    public TargetStatus status(long nowNanos) {
        if (!domains.isRead()) {
            return UNREAD;
        }
        return domains.isEvacuated(domain.get()) ? EVACUATED : TargetStatus.AVAILABLE;
    }
}
