package io.endiveshed.settings;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations and sizes with units, such as {@code 500ms} and {@code 16MiB}. */
public final class Quantities {
    private static final Pattern NUMBER_AND_UNIT = Pattern.compile("([0-9]{1,12})([A-Za-z]+)");

    /** Durations may have a fraction, as settings that a platform fills in from computed values do. */
    private static final Pattern FRACTION_AND_UNIT = Pattern.compile("([0-9]{1,12}(?:[.][0-9]{1,20})?)([A-Za-z]+)");

    private static final BigDecimal NANOS_PER_SECOND = BigDecimal.valueOf(1_000_000_000);
    private static final Map<String, Duration> TIME_UNITS = Map.of(
            "ms", Duration.ofMillis(1),
            "s", Duration.ofSeconds(1),
            "min", Duration.ofMinutes(1),
            "h", Duration.ofHours(1),
            "d", Duration.ofDays(1));
    private static final Map<String, Long> SIZE_UNITS_BYTES =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    private Quantities() {}

    /** Parses a duration; returns empty if the text is not a number with a time unit. Parts of a nanosecond are cut. */
    public static Optional<Duration> parseDuration(String text) {
        Matcher matcher = FRACTION_AND_UNIT.matcher(text);
        if (!matcher.matches() || !TIME_UNITS.containsKey(matcher.group(2))) {
            return Optional.empty();
        }
        BigDecimal unitNanos =
                BigDecimal.valueOf(TIME_UNITS.get(matcher.group(2)).toNanos());
        BigDecimal[] seconds =
                new BigDecimal(matcher.group(1)).multiply(unitNanos).divideAndRemainder(NANOS_PER_SECOND);
        return Optional.of(Duration.ofSeconds(seconds[0].longValue(), seconds[1].longValue()));
    }

    /** Parses a size and returns it in bytes; returns empty if the text is not a whole number with a size unit. */
    public static Optional<Long> parseSizeBytes(String text) {
        Matcher matcher = NUMBER_AND_UNIT.matcher(text);
        if (!matcher.matches() || !SIZE_UNITS_BYTES.containsKey(matcher.group(2))) {
            return Optional.empty();
        }
        return Optional.of(
                Math.multiplyExact(Long.parseLong(matcher.group(1)), (long) SIZE_UNITS_BYTES.get(matcher.group(2))));
    }

    /** Formats a duration with the largest unit that divides it. */
    public static String format(Duration duration) {
        for (String unit : new String[] {"d", "h", "min", "s"}) {
            long unitNanos = TIME_UNITS.get(unit).toNanos();
            if (!duration.isZero() && duration.toNanos() % unitNanos == 0) {
                return duration.toNanos() / unitNanos + unit;
            }
        }
        return duration.toMillis() + "ms";
    }

    /** Formats a size in bytes with the largest unit that divides it. */
    public static String format(long bytes) {
        for (String unit : new String[] {"GiB", "MiB", "KiB"}) {
            if (bytes != 0 && bytes % SIZE_UNITS_BYTES.get(unit) == 0) {
                return bytes / SIZE_UNITS_BYTES.get(unit) + unit;
            }
        }
        return bytes + "B";
    }
}
