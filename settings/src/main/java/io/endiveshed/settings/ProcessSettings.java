package io.endiveshed.settings;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.NameFormat;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.time.OpeningHours;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

/**
 * Settings that entry daemons and sidecars have in common. A value is empty only if it is optional or an error about it
 * was reported.
 *
 * @param instance instance on which the process runs
 * @param region region of the instance
 * @param failureDomain failure domain of the instance
 * @param platform address of the platform's object API
 * @param linkSecret secret that authenticates the links between entries and sidecars
 * @param stopGrace time that running work has to finish when the process stops; empty for the default
 * @param openingHours hours during which the process serves
 */
public record ProcessSettings(
        Optional<InstanceId> instance,
        Optional<Region> region,
        Optional<FailureDomain> failureDomain,
        Optional<InetSocketAddress> platform,
        Optional<String> linkSecret,
        Optional<Duration> stopGrace,
        Optional<OpeningHours> openingHours) {
    private static final int MIN_SECRET_CHARACTERS = 8;
    private static final Duration MIN_STOP_GRACE = Duration.ofSeconds(1);

    /** Upper limit of the grace period. A longer one is rejected as a typing error, because it delays a replacement. */
    private static final Duration MAX_STOP_GRACE = Duration.ofHours(1);

    /**
     * Reads the keys {@code instance, region, failure-domain, platform, link-secret, link-secret-file, stop-grace} and
     * {@code hours}.
     */
    public static ProcessSettings read(Section root) {
        return new ProcessSettings(
                root.parse(
                        "instance",
                        root.requiredText("instance", "instance-1"),
                        NameFormat.checked("instance id", InstanceId::new)),
                root.parse("region", root.requiredText("region", "north"), NameFormat.checked("region", Region::new)),
                root.parse(
                        "failure-domain",
                        root.requiredText("failure-domain", "north-a"),
                        NameFormat.checked("failure domain", FailureDomain::new)),
                readAddress(root, "platform", root.text("platform")),
                readLinkSecret(root),
                root.duration("stop-grace", MIN_STOP_GRACE, MAX_STOP_GRACE),
                OpeningHoursReader.read(root));
    }

    /**
     * Returns the address in the text of a key, which has the form {@code IP:port}. Host names are errors, because a
     * process must not depend on a name service.
     */
    public static Optional<InetSocketAddress> readAddress(Section section, String key, Optional<String> text) {
        return section.parse(key, text, ProcessSettings::parseAddress);
    }

    /** Parses {@code IP:port}; throws {@link IllegalArgumentException} with the remedy for text of another form. */
    public static InetSocketAddress parseAddress(String text) {
        String remedy = "write an IP address and a port, such as 127.0.0.1:7000";
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]{7,15}|\\[[0-9A-Fa-f:.]{2,45}]")) {
            throw new IllegalArgumentException(remedy);
        }
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(remedy, e);
        }
    }

    private static Optional<String> readLinkSecret(Section root) {
        Optional<String> inlineSecret = root.text("link-secret");
        Optional<String> secretFile = root.text("link-secret-file");
        if (inlineSecret.isPresent() == secretFile.isPresent()) {
            root.addError(
                    inlineSecret.isPresent() ? "link-secret-file" : "link-secret",
                    inlineSecret.isPresent()
                            ? "both \"link-secret\" and \"link-secret-file\" are given"
                            : "no link secret is given",
                    "add exactly one of \"link-secret-file: PATH\" and \"link-secret: TEXT\"");
            return Optional.empty();
        }
        Function<String, String> checker = ProcessSettings::checkSecret;
        return inlineSecret.isPresent()
                ? root.parse("link-secret", inlineSecret, checker)
                : root.parse("link-secret-file", secretFile, path -> checker.apply(readSecretFile(path)));
    }

    private static String checkSecret(String secret) {
        if (secret.length() < MIN_SECRET_CHARACTERS) {
            throw new IllegalArgumentException("use a secret of at least " + MIN_SECRET_CHARACTERS + " characters");
        }
        return secret;
    }

    private static String readSecretFile(String path) {
        try {
            return Files.readString(Path.of(path)).strip();
        } catch (IOException e) {
            throw new IllegalArgumentException("name a file that this process can read (" + e + ")", e);
        }
    }
}
