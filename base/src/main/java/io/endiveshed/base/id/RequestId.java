package io.endiveshed.base.id;

import java.util.random.RandomGenerator;

/**
 * Id of a caller's request: a random 128-bit number, unique across entry daemons.
 *
 * @param high upper 64 bits
 * @param low lower 64 bits
 */
public record RequestId(long high, long low) {
    /** Creates a random id. */
    public static RequestId random(RandomGenerator random) {
        return new RequestId(random.nextLong(), random.nextLong());
    }

    /**
     * Parses the 32 hexadecimal digits that {@link #toString()} returns; throws {@link IllegalArgumentException} for
     * other text.
     */
    public static RequestId parse(String text) {
        if (text.length() != 32) {
            throw new IllegalArgumentException(
                    "request id must have 32 hexadecimal digits, but has " + text.length() + " characters");
        }
        return new RequestId(Long.parseUnsignedLong(text, 0, 16, 16), Long.parseUnsignedLong(text, 16, 32, 16));
    }

    @Override
    public String toString() {
        return toHex(high) + toHex(low);
    }

    private static String toHex(long value) {
        String digits = Long.toHexString(value);
        return "0".repeat(16 - digits.length()) + digits;
    }
}
