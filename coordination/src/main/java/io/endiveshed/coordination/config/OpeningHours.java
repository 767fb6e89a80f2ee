package io.endiveshed.coordination.config;

import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.EnumSet;
import java.util.Set;

/**
 * Hours in which something is offered, in local time, so that they follow daylight saving time.
 *
 * @param zone time zone
 * @param days days on which the hours begin
 * @param opens local time from which it is offered
 * @param closes local time until which it is offered; at or before {@code opens} means on the next day
 */
public record OpeningHours(ZoneId zone, Set<DayOfWeek> days, LocalTime opens, LocalTime closes) {
    /** Always open. */
    public static final OpeningHours ALWAYS =
            new OpeningHours(ZoneId.of("UTC"), EnumSet.allOf(DayOfWeek.class), LocalTime.MIDNIGHT, LocalTime.MIDNIGHT);

    /** Copies the days. */
    public OpeningHours {
        days = Set.copyOf(days);
    }

    /** Tells whether an instant lies within the hours. */
    public boolean isOpen(Instant instant) {
        ZonedDateTime local = instant.atZone(zone);
        LocalTime time = local.toLocalTime();
        boolean today = days.contains(local.getDayOfWeek()) && !time.isBefore(opens);
        if (closes.isAfter(opens)) {
            return today && time.isBefore(closes);
        }
        return today || (days.contains(local.getDayOfWeek().minus(1)) && time.isBefore(closes));
    }
}
