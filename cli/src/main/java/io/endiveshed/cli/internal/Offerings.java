package io.endiveshed.cli.internal;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.Region;
import io.endiveshed.coordination.config.Offering;
import io.endiveshed.coordination.config.OpeningHours;
import io.endiveshed.settings.Section;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Reads the places and hours under {@code offered}. */
final class Offerings {
    private static final Map<String, DayOfWeek> DAYS = Map.of(
            "mon", DayOfWeek.MONDAY,
            "tue", DayOfWeek.TUESDAY,
            "wed", DayOfWeek.WEDNESDAY,
            "thu", DayOfWeek.THURSDAY,
            "fri", DayOfWeek.FRIDAY,
            "sat", DayOfWeek.SATURDAY,
            "sun", DayOfWeek.SUNDAY);

    private Offerings() {}

    static List<Offering> read(Section section) {
        List<Offering> offerings = new ArrayList<>();
        Set<String> places = new HashSet<>();
        for (Section item : section.sections("offered")) {
            offering(item).ifPresent(offering -> {
                if (!places.add(offering.region() + " " + offering.failureDomain())) {
                    item.fault("failure-domain", "this place is listed twice", "join the two items");
                }
                offerings.add(offering);
            });
            item.finish();
        }
        return offerings;
    }

    private static Optional<Offering> offering(Section item) {
        Optional<Region> region = item.value("region", item.required("region", "north"), Region::new);
        Optional<FailureDomain> domain =
                item.value("failure-domain", item.required("failure-domain", "north-a"), FailureDomain::new);
        Optional<OpeningHours> hours =
                item.has("hours") ? item.section("hours").flatMap(Offerings::hours) : Optional.of(OpeningHours.ALWAYS);
        return region.isPresent() && domain.isPresent() && hours.isPresent()
                ? Optional.of(new Offering(region.get(), domain.get(), hours.get()))
                : Optional.empty();
    }

    private static Optional<OpeningHours> hours(Section section) {
        Optional<ZoneId> zone = section.value("zone", section.required("zone", "Europe/Oslo"), Offerings::zone);
        Optional<LocalTime> open = section.value("open", section.required("open", "08:00"), Offerings::time);
        Optional<LocalTime> close = section.value("close", section.required("close", "22:00"), Offerings::time);
        Set<DayOfWeek> days = EnumSet.allOf(DayOfWeek.class);
        if (section.has("days")) {
            days = EnumSet.noneOf(DayOfWeek.class);
            days.addAll(section.values("days", Offerings::day));
        }
        section.finish();
        return zone.isPresent() && open.isPresent() && close.isPresent()
                ? Optional.of(new OpeningHours(zone.get(), days, open.get(), close.get()))
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
