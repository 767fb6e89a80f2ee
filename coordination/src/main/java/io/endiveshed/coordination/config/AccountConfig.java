package io.endiveshed.coordination.config;

import io.endiveshed.base.id.ClientAccountId;
import java.util.List;

/**
 * Configuration of a client account.
 *
 * @param id name of the account
 * @param keyHashes SHA-256 hashes of the account's keys in lower-case hexadecimal digits
 * @param weight share of each model's capacity relative to other accounts, at least 1
 * @param priority priority of the account's requests; 0 is the most urgent
 * @param limits limits of the account over all entry daemons
 * @param allowed names of the models and plain services that the account may use; empty for all
 */
public record AccountConfig(
        ClientAccountId id,
        List<String> keyHashes,
        int weight,
        int priority,
        AccountLimits limits,
        List<String> allowed) {
    /** Creates an account with unmodifiable copies of the lists. */
    public AccountConfig {
        keyHashes = List.copyOf(keyHashes);
        allowed = List.copyOf(allowed);
    }

    /** Creates an account without limits that may use all models and plain services. */
    public AccountConfig(ClientAccountId id, List<String> keyHashes, int weight, int priority) {
        this(id, keyHashes, weight, priority, AccountLimits.NONE, List.of());
    }

    /** Returns whether the account may use the given model or plain service. */
    public boolean mayUse(String name) {
        return allowed.isEmpty() || allowed.contains(name);
    }
}
