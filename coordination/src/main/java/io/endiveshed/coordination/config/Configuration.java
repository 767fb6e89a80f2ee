package io.endiveshed.coordination.config;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.ModelName;
import io.endiveshed.base.id.Revision;
import io.endiveshed.base.id.ServiceName;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * An accepted configuration.
 *
 * <pre>{@code
 * Configuration configuration = Configuration.builder(new Revision(1))
 *         .account(new AccountConfig(new ClientAccountId("ferry"), List.of(keyHash), 1, 0))
 *         .model(new ModelConfig(new ModelName("tsehay-llm")))
 *         .build();
 * }</pre>
 */
public final class Configuration {
    /** The state of a process that has no configuration yet. */
    public static final Configuration NONE = builder(Revision.NONE).build();

    private final Revision revision;
    private final Map<ClientAccountId, AccountConfig> accounts;
    private final Map<String, AccountConfig> accountsByKeyHash;
    private final Map<ModelName, ModelConfig> models;
    private final Map<ServiceName, ServiceConfig> services;

    private Configuration(Builder builder) {
        this.revision = builder.revision;
        this.accounts = new LinkedHashMap<>(builder.accounts);
        this.models = new LinkedHashMap<>(builder.models);
        this.services = new LinkedHashMap<>(builder.services);
        this.accountsByKeyHash = new LinkedHashMap<>();
        accounts.values().forEach(account -> account.keyHashes().forEach(hash -> accountsByKeyHash.put(hash, account)));
    }

    /** Starts a configuration. */
    public static Builder builder(Revision revision) {
        return new Builder(revision);
    }

    /** Returns the revision. */
    public Revision revision() {
        return revision;
    }

    /** Returns all client accounts. */
    public Collection<AccountConfig> accounts() {
        return accounts.values();
    }

    /** Returns a client account. */
    public Optional<AccountConfig> account(ClientAccountId id) {
        return Optional.ofNullable(accounts.get(id));
    }

    /** Returns the client account that owns the key with this SHA-256 hash, in lower-case hexadecimal digits. */
    public Optional<AccountConfig> accountByKeyHash(String hash) {
        return Optional.ofNullable(accountsByKeyHash.get(hash));
    }

    /** Returns all models. */
    public Collection<ModelConfig> models() {
        return models.values();
    }

    /** Returns a model. */
    public Optional<ModelConfig> model(ModelName name) {
        return Optional.ofNullable(models.get(name));
    }

    /** Returns all plain services. */
    public Collection<ServiceConfig> services() {
        return services.values();
    }

    /** Returns a plain service. */
    public Optional<ServiceConfig> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Builder of configurations. */
    public static final class Builder {
        private final Revision revision;
        private final Map<ClientAccountId, AccountConfig> accounts = new LinkedHashMap<>();
        private final Map<ModelName, ModelConfig> models = new LinkedHashMap<>();
        private final Map<ServiceName, ServiceConfig> services = new LinkedHashMap<>();

        private Builder(Revision revision) {
            this.revision = revision;
        }

        /** Adds a client account. */
        public Builder account(AccountConfig account) {
            accounts.put(account.id(), account);
            return this;
        }

        /** Adds a model. */
        public Builder model(ModelConfig model) {
            models.put(model.name(), model);
            return this;
        }

        /** Adds a plain service. */
        public Builder service(ServiceConfig service) {
            services.put(service.name(), service);
            return this;
        }

        /** Builds the configuration. */
        public Configuration build() {
            return new Configuration(this);
        }
    }
}
