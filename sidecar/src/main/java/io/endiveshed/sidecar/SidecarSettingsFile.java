package io.endiveshed.sidecar;

import io.endiveshed.base.id.ModelName;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.net.link.LinkSecret;
import io.endiveshed.settings.ProcessSettings;
import io.endiveshed.settings.Section;
import io.endiveshed.settings.SettingsError;
import io.endiveshed.settings.YamlFile;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads the settings file of a sidecar; {@code docs/examples/sidecar.yaml} shows all keys. */
public final class SidecarSettingsFile {
    private static final Map<String, TargetKind> KINDS =
            Map.of("engine", TargetKind.ENGINE, "service", TargetKind.SERVICE);
    private static final long MAX_KV_TOKENS = 1_000_000_000_000L;
    private static final long MAX_RUNNING = 100_000;

    private SidecarSettingsFile() {}

    /** Reads the file; on the left are all its faults. */
    public static Either<List<SettingsError>, SidecarSettings> read(Path file) {
        List<SettingsError> errors = new ArrayList<>();
        Optional<SidecarSettings> settings = YamlFile.read(file, errors).flatMap(root -> settings(root, errors));
        return errors.isEmpty() ? Either.right(settings.orElseThrow()) : Either.left(errors);
    }

    private static Optional<SidecarSettings> settings(Section root, List<SettingsError> errors) {
        ProcessSettings process = ProcessSettings.read(root);
        SidecarSettings.Builder builder = SidecarSettings.builder();
        List<InetSocketAddress> entries = root.parseList("entries", ProcessSettings::parseAddress);
        if (!root.has("entries") && !root.has("platform")) {
            root.addError(
                    "entries",
                    "neither \"entries\" nor \"platform\" is given",
                    "add the line \"platform: 127.0.0.1:9000\"");
        }
        if (!root.has("target")) {
            root.addError("target", "\"target\" is missing", "add \"target:\" with kind, address and serves");
        }
        ProcessSettings.readAddress(root, "metrics", root.text("metrics")).ifPresent(builder::metricsAddress);
        root.section("target").ifPresent(target -> target(target, builder));
        root.reportUnknownKeys();
        if (!errors.isEmpty()) {
            return Optional.empty();
        }
        process.platform().ifPresent(builder::platformAddress);
        return Optional.of(builder.instance(process.instance().orElseThrow())
                .region(process.region().orElseThrow())
                .failureDomain(process.failureDomain().orElseThrow())
                .linkSecret(new LinkSecret(process.linkSecret().orElseThrow()))
                .entries(entries)
                .stopGrace(process.stopGrace().orElse(SidecarSettings.DEFAULT_STOP_GRACE))
                .openingHours(process.openingHours().orElseThrow())
                .build());
    }

    private static void target(Section target, SidecarSettings.Builder builder) {
        Optional<TargetKind> kind = target.choice("kind", target.requiredText("kind", "engine"), KINDS);
        kind.ifPresent(builder::targetKind);
        ProcessSettings.readAddress(target, "address", target.requiredText("address", "127.0.0.1:8000"))
                .ifPresent(builder::targetAddress);
        List<String> serves = target.parseList("serves", name -> checkName(kind, name));
        if (!target.has("serves")) {
            target.addError(
                    "serves", "no name is given under \"target.serves\"", "add a line such as \"serves: [depot-app]\"");
        }
        builder.serves(serves);
        if (kind.equals(Optional.of(TargetKind.ENGINE))) {
            Optional<String> capacity = target.requiredText("kv-capacity-tokens", "4000000");
            if (capacity.isPresent()) {
                target.integer("kv-capacity-tokens", 1, MAX_KV_TOKENS).ifPresent(builder::kvCapacityTokens);
            }
        }
        target.integer("max-running", 1, MAX_RUNNING).map(Long::intValue).ifPresent(builder::maxRunning);
        target.reportUnknownKeys();
    }

    private static String checkName(Optional<TargetKind> kind, String name) {
        return kind.equals(Optional.of(TargetKind.SERVICE))
                ? new ServiceName(name).value()
                : new ModelName(name).value();
    }
}
