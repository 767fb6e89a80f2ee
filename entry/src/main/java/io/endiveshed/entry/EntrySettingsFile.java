package io.endiveshed.entry;

import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.net.link.LinkSecret;
import io.endiveshed.settings.ProcessSettings;
import io.endiveshed.settings.Section;
import io.endiveshed.settings.SettingsError;
import io.endiveshed.settings.YamlFile;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads the settings file of an entry daemon; {@code docs/examples/entry.yaml} shows all keys. */
public final class EntrySettingsFile {
    private static final long MIN_BYTES = 1024;
    private static final long MAX_HEADER_BYTES = 1024 * 1024;
    private static final long MAX_BODY_BYTES = 1024L * 1024 * 1024;
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(100);
    private static final Duration MAX_TIMEOUT = Duration.ofMinutes(10);

    private EntrySettingsFile() {}

    /** Reads the file; on the left are all its faults. */
    public static Either<List<SettingsError>, EntrySettings> read(Path file) {
        List<SettingsError> errors = new ArrayList<>();
        Optional<EntrySettings> settings = YamlFile.read(file, errors).flatMap(root -> settings(root, errors));
        return errors.isEmpty() ? Either.right(settings.orElseThrow()) : Either.left(errors);
    }

    private static Optional<EntrySettings> settings(Section root, List<SettingsError> errors) {
        ProcessSettings process = ProcessSettings.read(root);
        Optional<InetSocketAddress> callers =
                ProcessSettings.readAddress(root, "callers", root.requiredText("callers", "0.0.0.0:8080"));
        Optional<InetSocketAddress> links =
                ProcessSettings.readAddress(root, "links", root.requiredText("links", "0.0.0.0:7000"));
        HttpServerLimits limits =
                root.section("limits").map(EntrySettingsFile::limits).orElseGet(HttpServerLimits::defaults);
        if (!root.has("platform")) {
            root.addError("platform", "\"platform\" is missing", "add the line \"platform: 127.0.0.1:9000\"");
        }
        root.reportUnknownKeys();
        if (!errors.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(EntrySettings.builder()
                .instance(process.instance().orElseThrow())
                .region(process.region().orElseThrow())
                .failureDomain(process.failureDomain().orElseThrow())
                .linkSecret(new LinkSecret(process.linkSecret().orElseThrow()))
                .platformAddress(process.platform().orElseThrow())
                .callerAddress(callers.orElseThrow())
                .linkAddress(links.orElseThrow())
                .limits(limits)
                .stopGrace(process.stopGrace().orElse(EntrySettings.DEFAULT_STOP_GRACE))
                .openingHours(process.openingHours().orElseThrow())
                .build());
    }

    private static HttpServerLimits limits(Section section) {
        HttpServerLimits defaults = HttpServerLimits.defaults();
        HttpServerLimits limits = new HttpServerLimits(
                section.sizeBytes("max-header", MIN_BYTES, MAX_HEADER_BYTES)
                        .map(Long::intValue)
                        .orElse(defaults.maxHeaderBytes()),
                section.sizeBytes("max-body", MIN_BYTES, MAX_BODY_BYTES)
                        .map(Long::intValue)
                        .orElse(defaults.maxBodyBytes()),
                section.duration("header-timeout", MIN_TIMEOUT, MAX_TIMEOUT).orElse(defaults.headerTimeout()),
                section.duration("body-timeout", MIN_TIMEOUT, MAX_TIMEOUT).orElse(defaults.bodyTimeout()));
        section.reportUnknownKeys();
        return limits;
    }
}
