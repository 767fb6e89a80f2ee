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
 * @param limits limits over all entry daemons
 * @param allowed names of the models and plain services that the account may use; empty for all
 */
public record AccountConfig(
        ClientAccountId id,
        List<String> keyHashes,
        int weight,
        int priority,
        AccountLimits limits,
        List<String> allowed) {
    /** Copies the lists. */
    public AccountConfig {
        keyHashes = List.copyOf(keyHashes);
        allowed = List.copyOf(allowed);
    }

    /** Makes an account without limits that may use everything. */
    public AccountConfig(ClientAccountId id, List<String> keyHashes, int weight, int priority) {
        this(id, keyHashes, weight, priority, AccountLimits.NONE, List.of());
    }

    /** Tells whether the account may use a model or plain service. */
    public boolean mayUse(String name) {
        return allowed.isEmpty() || allowed.contains(name);
    }
}
