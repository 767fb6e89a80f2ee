package io.endiveshed.entry.internal;

import java.util.Locale;

/** Band of prompt lengths by which latencies are kept apart. */
enum LengthBand {
    SHORT(4_000),
    MEDIUM(32_000),
    LONG(100_000),
    VERY_LONG(Long.MAX_VALUE);

    private final long maxPromptTokens;

    LengthBand(long maxPromptTokens) {
        this.maxPromptTokens = maxPromptTokens;
    }

    /** Returns the band of a prompt. */
    static LengthBand of(long promptTokens) {
        for (LengthBand band : values()) {
            if (promptTokens <= band.maxPromptTokens) {
                return band;
            }
        }
        return VERY_LONG;
    }

    /** Returns the label in metrics, such as {@code very_long}. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
