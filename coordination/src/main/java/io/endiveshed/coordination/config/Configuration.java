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
 * Configuration of client accounts, models and plain services at one revision. Immutable.
 *
 * <pre>{@code
 * Configuration configuration = Configuration.builder(new Revision(1))
 *         .account(new AccountConfig(new ClientAccountId("ferry"), List.of(keyHash), 1, 0))
 *         .model(new ModelConfig(new ModelName("tsehay-llm")))
 *         .build();
 * }</pre>
 */
public final class Configuration {
    /** Empty configuration of a process that has not received one yet. */
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

    /** Returns a builder of a configuration with the given revision. */
    public static Builder builder(Revision revision) {
        return new Builder(revision);
    }

    /** Returns the revision of this configuration. */
    public Revision revision() {
        return revision;
    }

    /** Returns all client accounts, in the order in which they were added. */
    public Collection<AccountConfig> accounts() {
        return accounts.values();
    }

    /** Returns the client account with the given id, if there is one. */
    public Optional<AccountConfig> account(ClientAccountId id) {
        return Optional.ofNullable(accounts.get(id));
    }

    /** Returns the client account that owns the key with the given SHA-256 hash, in lower-case hexadecimal digits. */
    public Optional<AccountConfig> accountByKeyHash(String hash) {
        return Optional.ofNullable(accountsByKeyHash.get(hash));
    }

    /** Returns all models, in the order in which they were added. */
    public Collection<ModelConfig> models() {
        return models.values();
    }

    /** Returns the model with the given name, if there is one. */
    public Optional<ModelConfig> model(ModelName name) {
        return Optional.ofNullable(models.get(name));
    }

    /** Returns all plain services, in the order in which they were added. */
    public Collection<ServiceConfig> services() {
        return services.values();
    }

    /** Returns the plain service with the given name, if there is one. */
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

        /** Adds a client account, replacing one with its id. */
        public Builder account(AccountConfig account) {
            accounts.put(account.id(), account);
            return this;
        }

        /** Adds a model, replacing one with its name. */
        public Builder model(ModelConfig model) {
            models.put(model.name(), model);
            return this;
        }

        /** Adds a plain service, replacing one with its name. */
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
