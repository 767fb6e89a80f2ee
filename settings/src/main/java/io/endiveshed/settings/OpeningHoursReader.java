package io.endiveshed.settings;

import io.endiveshed.base.time.OpeningHours;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Reads opening hours, which have the same form in the settings of a process and in the configuration:
 *
 * <pre>{@code
 * hours: {zone: Europe/Oslo, days: [mon, fri], open: 08:00, close: 22:00}
 * }</pre>
 */
public final class OpeningHoursReader {
    private static final Map<String, DayOfWeek> DAYS = Map.of(
            "mon", DayOfWeek.MONDAY,
            "tue", DayOfWeek.TUESDAY,
            "wed", DayOfWeek.WEDNESDAY,
            "thu", DayOfWeek.THURSDAY,
            "fri", DayOfWeek.FRIDAY,
            "sat", DayOfWeek.SATURDAY,
            "sun", DayOfWeek.SUNDAY);

    private OpeningHoursReader() {}

    /** Reads the optional section {@code hours}; missing is always open, and empty is a fault that was reported. */
    public static Optional<OpeningHours> read(Section parent) {
        if (!parent.has("hours")) {
            parent.text("hours");
            return Optional.of(OpeningHours.ALWAYS);
        }
        return parent.section("hours").flatMap(OpeningHoursReader::hours);
    }

    private static Optional<OpeningHours> hours(Section section) {
        Optional<ZoneId> zone =
                section.parse("zone", section.requiredText("zone", "Europe/Oslo"), OpeningHoursReader::zone);
        Optional<LocalTime> open =
                section.parse("open", section.requiredText("open", "08:00"), OpeningHoursReader::time);
        Optional<LocalTime> close =
                section.parse("close", section.requiredText("close", "22:00"), OpeningHoursReader::time);
        Set<DayOfWeek> days = EnumSet.allOf(DayOfWeek.class);
        if (section.has("days")) {
            days = EnumSet.noneOf(DayOfWeek.class);
            days.addAll(section.parseList("days", OpeningHoursReader::day));
        }
        section.reportUnknownKeys();
        return zone.isPresent() && open.isPresent() && close.isPresent()
                ? Optional.of(OpeningHours.of(zone.get(), days, open.get(), close.get()))
                : Optional.empty();
    }

    private static ZoneId zone(String text) {
        try {
            return ZoneId.of(text);
        } catch (DateTimeException e) {
            throw new IllegalArgumentException("write a time zone by its region, such as Europe/Oslo", e);
        }
    }

    private static LocalTime time(String text) {
        try {
            return LocalTime.parse(text);
        } catch (DateTimeException e) {
            throw new IllegalArgumentException("write a time of day from 00:00 to 23:59", e);
        }
    }

    private static DayOfWeek day(String text) {
        DayOfWeek day = DAYS.get(text.toLowerCase(Locale.ROOT));
        if (day == null) {
            throw new IllegalArgumentException("write one of mon, tue, wed, thu, fri, sat, sun");
        }
        return day;
    }
}
