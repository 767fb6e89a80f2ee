package io.endiveshed.entry.internal;

import java.util.Locale;

/** Range of prompt lengths in tokens, by which latencies are grouped; each limit is part of its band. */
enum LengthBand {
    SHORT(4_000),
    MEDIUM(32_000),
    LONG(100_000),
    VERY_LONG(Long.MAX_VALUE);

    private final long maxPromptTokens;

    LengthBand(long maxPromptTokens) {
        this.maxPromptTokens = maxPromptTokens;
    }

    /** Returns the band of a prompt length. */
    static LengthBand of(long promptTokens) {
        for (LengthBand band : values()) {
            if (promptTokens <= band.maxPromptTokens) {
                return band;
            }
        }
        return VERY_LONG;
    }

    /** Returns the value of the label {@code band} in metrics, for example {@code very_long}. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
