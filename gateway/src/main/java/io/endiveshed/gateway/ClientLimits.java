package io.endiveshed.gateway;

import io.endiveshed.net.http.ClientMemoryLimits;
import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.settings.Section;
import java.time.Duration;

/** Reads the section {@code clients} of the settings, which limits the requests of callers. */
final class ClientLimits {
    private static final int DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;
    private static final int MIN_HEADER_BYTES = 1024;
    private static final int MAX_HEADER_BYTES = 1024 * 1024;
    private static final int MIN_BODY_BYTES = 1024;
    private static final int MAX_BODY_BYTES = 1024 * 1024 * 1024;
    private static final long MAX_MEMORY_BYTES = 1024L * 1024 * 1024 * 1024;
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);
    private static final Duration MAX_TIMEOUT = Duration.ofHours(1);

    private ClientLimits() {}

    /** Returns the limits that hold if the settings have none. Bodies of long prompts have hundreds of kilobytes. */
    static HttpServerLimits defaults() {
        HttpServerLimits defaults = HttpServerLimits.defaults();
        return new HttpServerLimits(
                64 * 1024,
                DEFAULT_MAX_BODY_BYTES,
                defaults.headerTimeout(),
                defaults.bodyTimeout(),
                HttpServerLimits.DEFAULT_MIN_BODY_BYTES_PER_SECOND,
                ClientMemoryLimits.bodyBytesOfProcess(DEFAULT_MAX_BODY_BYTES));
    }

    static HttpServerLimits read(Section section) {
        HttpServerLimits defaults = defaults();
        long maxHeader = section.sizeBytes("max-header", MIN_HEADER_BYTES, MAX_HEADER_BYTES)
                .orElse((long) defaults.maxHeaderBytes());
        long maxBody =
                section.sizeBytes("max-body", MIN_BODY_BYTES, MAX_BODY_BYTES).orElse((long) defaults.maxBodyBytes());
        Duration headerTimeout =
                section.duration("header-timeout", MIN_TIMEOUT, MAX_TIMEOUT).orElse(defaults.headerTimeout());
        Duration bodyTimeout =
                section.duration("body-timeout", MIN_TIMEOUT, MAX_TIMEOUT).orElse(defaults.bodyTimeout());
        long memory =
                section.sizeBytes("memory", MIN_BODY_BYTES, MAX_MEMORY_BYTES).orElse(defaults.maxBufferedBodyBytes());
        if (memory < maxBody) {
            section.addError(
                    "memory", "\"memory\" is less than a single body", "set \"memory\" to at least \"max-body\"");
        }
        section.reportUnknownKeys();
        return new HttpServerLimits(
                (int) maxHeader, (int) maxBody, headerTimeout, bodyTimeout, defaults.minBodyBytesPerSecond(), memory);
    }
}
