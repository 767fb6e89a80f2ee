package io.endiveshed.cli.internal;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.ModelName;
import io.endiveshed.base.id.NameFormat;
import io.endiveshed.base.id.Revision;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.coordination.config.AccountConfig;
import io.endiveshed.coordination.config.AccountLimits;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.config.ModelConfig;
import io.endiveshed.coordination.config.ServiceConfig;
import io.endiveshed.settings.Section;
import io.endiveshed.settings.SettingsError;
import io.endiveshed.settings.YamlFile;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.regex.Pattern;

/**
 * Reader of a set of configuration files as one configuration. {@code docs/examples/configuration.yaml} shows all keys.
 * Every fault in any of the files is reported, and references are checked across files.
 */
public final class ConfigurationFiles {
    private static final Duration MIN_DEADLINE = Duration.ofMillis(10);
    private static final Duration MAX_DEADLINE = Duration.ofHours(1);
    private static final Duration MIN_KEY_RETENTION = Duration.ofMinutes(1);
    private static final Duration MAX_KEY_RETENTION = Duration.ofDays(30);
    private static final int MAX_WEIGHT = 1_000_000;
    private static final int MAX_PRIORITY = 9;
    private static final long MAX_ACCOUNT_LIMIT = 1_000_000_000_000L;
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern ROUTE = Pattern.compile("(GET|PUT|POST|PATCH|DELETE) /[!-~]*");

    private final List<SettingsError> errors = new ArrayList<>();
    private final Configuration.Builder builder = Configuration.builder(Revision.NONE);
    private final Map<String, String> definitionPlaces = new HashMap<>();
    private final Map<String, String> accountsByKeyHash = new HashMap<>();
    private final Set<String> modelAndServiceNames = new HashSet<>();
    private final List<Runnable> referenceChecks = new ArrayList<>();

    private ConfigurationFiles() {}

    /** Returns the configuration that the files define together, or the faults of all files. */
    public static Either<List<SettingsError>, Configuration> read(List<Path> files) {
        ConfigurationFiles reader = new ConfigurationFiles();
        files.forEach(file -> YamlFile.read(file, reader.errors).ifPresent(reader::readFile));
        reader.referenceChecks.forEach(Runnable::run);
        return reader.errors.isEmpty() ? Either.right(reader.builder.build()) : Either.left(reader.errors);
    }

    private void readFile(Section root) {
        readGroup(root, "models", this::readModel);
        readGroup(root, "services", this::readService);
        readGroup(root, "accounts", this::readAccount);
        root.reportUnknownKeys();
    }

    private void readGroup(Section root, String group, BiConsumer<Section, String> reader) {
        root.section(group).ifPresent(section -> {
            for (String name : section.keys()) {
                String place = section.file() + ":" + section.line(name);
                String earlierPlace = definitionPlaces.putIfAbsent(group + "/" + name, place);
                if (earlierPlace != null) {
                    section.addError(
                            name, "\"" + name + "\" is also defined at " + earlierPlace, "remove one of the two");
                }
                section.section(name).ifPresent(item -> {
                    section.parse(name, Optional.of(name), NameFormat.checked("client account", ClientAccountId::new))
                            .ifPresent(id -> reader.accept(item, name));
                    item.reportUnknownKeys();
                });
            }
        });
    }

    private void readModel(Section section, String name) {
        modelAndServiceNames.add(name);
        builder.model(new ModelConfig(
                new ModelName(name),
                readDeadline(section),
                OfferingsReader.read(section),
                section.booleanValue("engines-check-tokens").orElse(false)));
    }

    private void readService(Section section, String name) {
        modelAndServiceNames.add(name);
        builder.service(new ServiceConfig(
                new ServiceName(name),
                section.parseList("non-idempotent", ConfigurationFiles::checkRoute),
                readDeadline(section),
                OfferingsReader.read(section),
                section.duration("key-retention", MIN_KEY_RETENTION, MAX_KEY_RETENTION)
                        .orElse(ServiceConfig.DEFAULT_KEY_RETENTION)));
    }

    private void readAccount(Section section, String name) {
        if (!section.has("key-hashes")) {
            section.addError(
                    "key-hashes", "account \"" + name + "\" has no \"key-hashes\"", "add the SHA-256 of its key");
        }
        List<String> hashes = section.parseList("key-hashes", hash -> checkHash(name, hash));
        List<String> allowed = section.textList("may-use");
        referenceChecks.add(() -> checkReferences(section, allowed));
        builder.account(new AccountConfig(
                new ClientAccountId(name),
                hashes,
                section.integer("weight", 1, MAX_WEIGHT).orElse(1L).intValue(),
                section.integer("priority", 0, MAX_PRIORITY).orElse(1L).intValue(),
                section.section("limits").map(ConfigurationFiles::readLimits).orElse(AccountLimits.NONE),
                allowed));
    }

    private static AccountLimits readLimits(Section section) {
        AccountLimits limits = new AccountLimits(
                section.integer("requests-per-second", 1, MAX_ACCOUNT_LIMIT).orElse(0L),
                section.integer("tokens-per-minute", 1, MAX_ACCOUNT_LIMIT).orElse(0L),
                section.integer("outstanding", 1, MAX_ACCOUNT_LIMIT).orElse(0L));
        section.reportUnknownKeys();
        return limits;
    }

    private static Duration readDeadline(Section section) {
        if (!section.has("deadline")) {
            section.requiredText("deadline", "60s");
        }
        return section.duration("deadline", MIN_DEADLINE, MAX_DEADLINE).orElse(MAX_DEADLINE);
    }

    private void checkReferences(Section section, List<String> allowed) {
        for (String name : allowed) {
            if (!modelAndServiceNames.contains(name)) {
                section.addError(
                        "may-use",
                        "\"" + name + "\" is neither a model nor a service of this configuration",
                        "define it or remove it from the list");
            }
        }
    }

    private String checkHash(String account, String hash) {
        if (!KEY_HASH.matcher(hash).matches()) {
            throw new IllegalArgumentException(
                    "write the SHA-256 of the key in 64 lower-case hexadecimal digits, never the key itself");
        }
        String otherAccount = accountsByKeyHash.putIfAbsent(hash, account);
        if (otherAccount != null) {
            throw new IllegalArgumentException(
                    "use another key; this one is also that of account \"" + otherAccount + "\"");
        }
        return hash;
    }

    private static String checkRoute(String route) {
        if (!ROUTE.matcher(route).matches()) {
            throw new IllegalArgumentException("write a method and a path, such as POST /bookings");
        }
        return route;
    }
}
