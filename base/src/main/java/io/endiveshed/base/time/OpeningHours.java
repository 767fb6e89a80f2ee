package io.endiveshed.base.time;

import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.List;
import java.util.Set;

/**
 * Weekly opening hours in one time zone.
 *
 * <p>Windows are converted to instants and not compared as local times: otherwise, when clocks are set back over the
 * closing time, the hours would open a second time. An opening time in the hour that is skipped when clocks are set
 * forward is moved forward by the length of the gap. Of a closing time in the hour that is repeated when clocks are set
 * back, the later instant counts.
 *
 * @param zone time zone of the windows
 * @param windows daily windows; an empty list means always open
 */
public record OpeningHours(ZoneId zone, List<Window> windows) {
    /** Opening hours without closing time. */
    public static final OpeningHours ALWAYS = new OpeningHours(ZoneId.of("UTC"), List.of());

    /** Creates opening hours with a copy of the list. */
    public OpeningHours {
        windows = List.copyOf(windows);
    }

    /**
     * Daily period of opening, which may extend past midnight.
     *
     * @param days days of the week on which the window starts
     * @param open local time at which the window starts, inclusive
     * @param close local time at which the window ends, exclusive; on the next day unless it is later than {@code open}
     */
    public record Window(Set<DayOfWeek> days, LocalTime open, LocalTime close) {
        /** Creates a window with a copy of the set. */
        public Window {
            days = Set.copyOf(days);
        }

        private boolean containsWhenStartedOn(LocalDate start, ZoneId zone, Instant time) {
            if (!days.contains(start.getDayOfWeek())) {
                return false;
            }
            LocalDate end = close.isAfter(open) ? start : start.plusDays(1);
            Instant from = ZonedDateTime.of(start, open, zone).toInstant();
            Instant to = ZonedDateTime.of(end, close, zone)
                    .withLaterOffsetAtOverlap()
                    .toInstant();
            return !time.isBefore(from) && time.isBefore(to);
        }
    }

    /** Returns opening hours of one window. */
    public static OpeningHours of(ZoneId zone, Set<DayOfWeek> days, LocalTime open, LocalTime close) {
        return new OpeningHours(zone, List.of(new Window(days, open, close)));
    }

    /** Returns whether the given time is within a window. */
    public boolean isOpen(Instant time) {
        LocalDate today = time.atZone(zone).toLocalDate();
        return windows.isEmpty()
                || windows.stream()
                        .anyMatch(window -> window.containsWhenStartedOn(today, zone, time)
                                || window.containsWhenStartedOn(today.minusDays(1), zone, time));
    }
}
