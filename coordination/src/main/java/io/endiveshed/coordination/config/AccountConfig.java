package io.endiveshed.coordination.config;

import io.endiveshed.base.id.ClientAccountId;
import java.util.List;

/**
 * A client account.
 *
 * @param id name of the account
 * @param keyHashes SHA-256 hashes of the account's keys in lower-case hexadecimal digits
 * @param weight share of each model relative to other accounts, at least 1
 * @param priority 0 is the most urgent
 */
public record AccountConfig(ClientAccountId id, List<String> keyHashes, int weight, int priority) {
    /** Copies the list of hashes. */
    public AccountConfig {
        keyHashes = List.copyOf(keyHashes);
    }
}
