package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.IdempotencyKey;
import io.endiveshed.base.id.ServiceName;

/**
 * Identity of a non-idempotent call: an idempotency key is unique within its client account and service.
 *
 * @param account client account that chose the key
 * @param service plain service that is called
 * @param key key in the caller's request
 */
public record ClaimKey(ClientAccountId account, ServiceName service, IdempotencyKey key) {
    /** Returns the partition of the key; every process computes the same one. */
    public int partitionNumber(int partitionCount) {
        // String.hashCode is specified by the language, so it is equal in all processes. The multiplications spread
        // keys that differ only in their last characters.
        int hash = 31 * account.value().hashCode() + key.value().hashCode();
        hash = (hash ^ (hash >>> 16)) * 0x85ebca6b;
        hash = (hash ^ (hash >>> 13)) * 0xc2b2ae35;
        return Math.floorMod(hash ^ (hash >>> 16), partitionCount);
    }
}
