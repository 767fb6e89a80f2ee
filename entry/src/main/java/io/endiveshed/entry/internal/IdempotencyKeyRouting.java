package io.endiveshed.entry.internal;

import io.endiveshed.base.id.IdempotencyKey;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.coordination.claim.ClaimKey;
import io.endiveshed.coordination.claim.ClaimSettings;
import io.endiveshed.coordination.membership.RendezvousHash;
import io.endiveshed.coordination.membership.TargetState;
import io.endiveshed.coordination.membership.TargetView;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Sends the keys of a claim log partition to one sidecar, so that the writers of a partition rarely contend. At most
 * once does not depend on it.
 */
final class IdempotencyKeyRouting {
    private IdempotencyKeyRouting() {}

    /** Returns the live target that ranks first for the partition of the call's key. */
    static Optional<TargetView> select(CallSpec spec, List<TargetView> serving) {
        ClaimKey key = new ClaimKey(
                spec.account(), new ServiceName(spec.routing().name()), new IdempotencyKey(spec.idempotencyKey()));
        String partition = key.service() + "/" + key.partitionNumber(ClaimSettings.DEFAULT_PARTITIONS);
        return serving.stream()
                .filter(target -> target.state() == TargetState.LIVE)
                .max(Comparator.comparingLong(target ->
                        RendezvousHash.weight(partition, target.id().instance().value())));
    }

    /** Tells whether a call carries an idempotency key. */
    static boolean hasIdempotencyKey(CallSpec spec) {
        return !spec.idempotencyKey().isEmpty();
    }
}
