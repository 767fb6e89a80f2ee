package io.endiveshed.gateway;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.Region;
import io.endiveshed.coordination.limit.ColdBounds;
import io.endiveshed.coordination.service.DomainRegions;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.settings.Section;
import io.endiveshed.settings.SettingsError;
import io.endiveshed.settings.YamlFile;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads {@link GatewaySettings} from YAML. */
public final class GatewaySettingsFile {
    private static final String ADDRESS_EXAMPLE = "10.0.0.1:8080";
    private static final Duration MIN_DURATION = Duration.ofMillis(1);
    private static final Duration MAX_DURATION = Duration.ofHours(1);
    private static final Duration DEFAULT_CONTACT_WINDOW = Duration.ofSeconds(3);
    private static final Duration DEFAULT_DRAIN = Duration.ofSeconds(2);
    private static final Duration DEFAULT_UNUSED_MEMORY = Duration.ofSeconds(9);
    private static final double MAX_RETRY_ALLOWANCE = 1_000_000;
    private static final double MAX_COLD_OVERSHOOT = 1_000;
    private static final double MAX_COLD_ALLOWANCE = 1_000_000;
    private static final long MIN_RESPONSE_BYTES = 1024;
    private static final long MAX_RESPONSE_BYTES = 1024L * 1024 * 1024;

    private GatewaySettingsFile() {}

    /** Reads a settings file; on the left are all errors found in it. */
    public static Either<List<SettingsError>, GatewaySettings> read(Path file) {
        List<SettingsError> errors = new ArrayList<>();
        return settingsOrErrors(errors, YamlFile.read(file, errors).flatMap(root -> readSettings(root, errors)));
    }

    /** Parses the text of a settings file; errors give the name as that of the file. */
    public static Either<List<SettingsError>, GatewaySettings> parse(String name, String text) {
        List<SettingsError> errors = new ArrayList<>();
        return settingsOrErrors(errors, YamlFile.parse(name, text, errors).flatMap(root -> readSettings(root, errors)));
    }

    private static Either<List<SettingsError>, GatewaySettings> settingsOrErrors(
            List<SettingsError> errors, Optional<GatewaySettings> settings) {
        return errors.isEmpty() ? Either.right(settings.orElseThrow()) : Either.left(errors);
    }

    private static Optional<GatewaySettings> readSettings(Section root, List<SettingsError> errors) {
        Optional<InstanceId> instance =
                root.parse("instance", root.requiredText("instance", "entry-1"), InstanceId::new);
        Optional<FailureDomain> domain =
                root.parse("failure-domain", root.requiredText("failure-domain", "north"), FailureDomain::new);
        Optional<InetSocketAddress> callers = readAddress(root, "callers");
        Optional<InetSocketAddress> ready = readAddress(root, "ready");
        Optional<InetSocketAddress> metrics = readAddress(root, "metrics");
        Optional<InetSocketAddress> peers = readAddress(root, "peers");
        Optional<InetSocketAddress> platform = readAddress(root, "platform");
        Optional<GatewaySettings.Bounds> bounds = root.section("bounds").flatMap(GatewaySettingsFile::readBounds);
        if (!root.has("bounds")) {
            root.addError("bounds", "\"bounds\" is missing", "add the section \"bounds\" as docs/operators.md shows");
        }
        Map<FailureDomain, Region> regions = readRegions(root);
        root.parse("region", root.text("region"), Region::new)
                .ifPresent(region -> domain.ifPresent(own -> regions.putIfAbsent(own, region)));
        GatewaySettings.ResponseLimits responses = root.section("responses")
                .map(GatewaySettingsFile::readResponses)
                .orElseGet(GatewaySettings.ResponseLimits::defaults);
        HttpServerLimits clients =
                root.section("clients").map(ClientLimits::read).orElseGet(ClientLimits::defaults);
        boolean adaptiveSlowStart = root.booleanValue("adaptive-slow-start").orElse(false);
        root.reportUnknownKeys();
        if (!errors.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new GatewaySettings(
                instance.orElseThrow(),
                domain.orElseThrow(),
                callers.orElseThrow(),
                ready.orElseThrow(),
                metrics.orElseThrow(),
                peers.orElseThrow(),
                platform.orElseThrow(),
                bounds.orElseThrow(),
                new DomainRegions(regions),
                adaptiveSlowStart,
                responses,
                clients));
    }

    /** Returns the region of each failure domain that the file names. */
    private static Map<FailureDomain, Region> readRegions(Section root) {
        Map<FailureDomain, Region> regions = new HashMap<>();
        root.section("regions").ifPresent(section -> {
            for (String domain : section.keys()) {
                section.parse(domain, section.text(domain), Region::new)
                        .ifPresent(region -> regions.put(new FailureDomain(domain), region));
            }
        });
        return regions;
    }

    private static GatewaySettings.ResponseLimits readResponses(Section section) {
        GatewaySettings.ResponseLimits defaults = GatewaySettings.ResponseLimits.defaults();
        long maxEvent = readSize(section, "max-event", defaults.maxEventBytes());
        long maxBuffered = readSize(section, "max-buffered", defaults.maxBufferedBytes());
        long maxHeld = readSize(section, "max-held", defaults.maxHeldBytes());
        if (maxHeld < maxEvent || maxHeld < maxBuffered) {
            section.addError(
                    "max-held",
                    "\"max-held\" is less than the limit of a single response",
                    "set \"max-held\" to at least \"max-event\" and \"max-buffered\"");
        }
        section.reportUnknownKeys();
        return new GatewaySettings.ResponseLimits(maxEvent, maxBuffered, maxHeld);
    }

    private static long readSize(Section section, String key, long defaultBytes) {
        return section.sizeBytes(key, MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES).orElse(defaultBytes);
    }

    private static Optional<GatewaySettings.Bounds> readBounds(Section section) {
        Optional<Duration> revocation = readDuration(section, "revocation");
        Optional<Duration> apply = readDuration(section, "configuration-apply");
        Optional<Duration> grace = readDuration(section, "stop-grace");
        Duration contactWindow =
                section.duration("contact-window", MIN_DURATION, MAX_DURATION).orElse(DEFAULT_CONTACT_WINDOW);
        Duration drain = section.duration("drain", MIN_DURATION, MAX_DURATION).orElse(DEFAULT_DRAIN);
        Duration unusedMemory =
                section.duration("unused-memory", MIN_DURATION, MAX_DURATION).orElse(DEFAULT_UNUSED_MEMORY);
        Optional<Double> share = section.parse(
                "retry-share", section.requiredText("retry-share", "0.2"), GatewaySettingsFile::parseShare);
        Optional<Double> allowance = section.decimal("retry-allowance", 0, MAX_RETRY_ALLOWANCE);
        ColdBounds cold = readColdBounds(section);
        Optional<Duration> evacuation = section.duration("evacuation", MIN_DURATION, MAX_DURATION);
        section.reportUnknownKeys();
        if (revocation.isEmpty() || apply.isEmpty() || grace.isEmpty() || share.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new GatewaySettings.Bounds(
                revocation.get(),
                apply.get(),
                grace.get(),
                contactWindow,
                drain,
                unusedMemory,
                share.get(),
                allowance.orElse(0.0),
                cold,
                evacuation));
    }

    private static ColdBounds readColdBounds(Section section) {
        return new ColdBounds(
                section.decimal("cold-overshoot", 0, MAX_COLD_OVERSHOOT).orElse(ColdBounds.DEFAULTS.overshoot()),
                section.decimal("cold-allowance", 0, MAX_COLD_ALLOWANCE).orElse(ColdBounds.DEFAULTS.allowance()));
    }

    private static Optional<Duration> readDuration(Section section, String key) {
        Optional<Duration> duration = section.duration(key, MIN_DURATION, MAX_DURATION);
        if (!section.has(key)) {
            section.addError(key, "\"" + key + "\" is missing", "add the line \"" + key + ": 5s\"");
        }
        return duration;
    }

    private static double parseShare(String text) {
        double share = Double.parseDouble(text);
        if (share < 0 || share > 1) {
            throw new IllegalArgumentException("write a share from 0 to 1");
        }
        return share;
    }

    private static Optional<InetSocketAddress> readAddress(Section root, String key) {
        return root.parse(
                key,
                root.requiredText(key, ADDRESS_EXAMPLE),
                text -> Endpoint.parse(text).socketAddress());
    }
}
