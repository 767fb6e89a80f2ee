package io.endiveshed.bench.soak;

import io.endiveshed.cli.Command;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.ServiceLoader;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Applies configurations through the command of the product; each names its number as a model, so callers see it. */
final class SoakConfiguration {
    static final String KEY = "soak-key";
    private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);
    private static final Pattern MARK = Pattern.compile("\"soak-r(\\d+)\"");

    private final Path file;
    private final Supplier<String> platformUrl;
    private int number;

    SoakConfiguration(Path folder, Supplier<String> platformUrl) {
        this.file = folder.resolve("configuration.yaml");
        this.platformUrl = platformUrl;
    }

    /** Number of the last configuration that was applied. */
    synchronized int number() {
        return number;
    }

    /** Applies the next configuration and returns what the command printed, with its exit code first. */
    synchronized String applyNext() throws Exception {
        number++;
        byte[] hash = MessageDigest.getInstance("SHA-256").digest(KEY.getBytes(StandardCharsets.UTF_8));
        Files.writeString(
                file,
                "models:\n  " + SoakFleet.MODEL + ":\n    deadline: 10s\n  soak-r" + number
                        + ":\n    deadline: 10s\nservices:\n  " + SoakFleet.SERVICE
                        + ":\n    deadline: 10s\n    non-idempotent: [POST /bookings]\naccounts:\n  soak:\n"
                        + "    key-hashes: [" + HexFormat.of().formatHex(hash) + "]\n");
        Command apply = ServiceLoader.load(Command.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(command -> command.name().equals("apply"))
                .findFirst()
                .orElseThrow();
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(text, true, StandardCharsets.UTF_8);
        int code = apply.run(List.of("--platform", platformUrl.get(), file.toString()), out, out);
        return code + " " + text.toString(StandardCharsets.UTF_8).strip();
    }

    /** Reads the number of the configuration that an entry has in effect; 0 if it does not answer. */
    static long inEffect(HttpClient client, InetSocketAddress entry) throws InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + entry.getPort() + "/v1/models");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(POLL_TIMEOUT)
                .header("Authorization", "Bearer " + KEY)
                .build();
        try {
            Matcher matcher = MARK.matcher(
                    client.send(request, HttpResponse.BodyHandlers.ofString()).body());
            return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
        } catch (IOException e) {
            return 0;
        }
    }
}
