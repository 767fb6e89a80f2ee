package io.endiveshed.net.http;

import java.time.Duration;

/**
 * Limits on what a caller may send.
 *
 * @param maxHeaderBytes longest request line and longest header section in bytes
 * @param maxBodyBytes longest body in bytes
 * @param headerTimeout time from the first byte of a request to the end of its header section
 * @param bodyTimeout time from the end of the header section to the end of the body
 */
public record HttpServerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration bodyTimeout) {
    /** Returns limits that fit prompts of a million tokens. */
    public static HttpServerLimits defaults() {
        return new HttpServerLimits(16 * 1024, 16 * 1024 * 1024, Duration.ofSeconds(10), Duration.ofSeconds(30));
    }
}
