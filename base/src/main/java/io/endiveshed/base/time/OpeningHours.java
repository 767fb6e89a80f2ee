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
 * Times at which a place is open.
 *
 * <p>Windows are turned into instants, not compared as local times, so that a clock that is set back does not open a
 * place a second time. An opening in a skipped hour is moved to its end; a closing in a repeated hour is the later one.
 *
 * @param zone time zone of the windows
 * @param windows times of opening; empty means always open
 */
public record OpeningHours(ZoneId zone, List<Window> windows) {
    /** Open at all times. */
    public static final OpeningHours ALWAYS = new OpeningHours(ZoneId.of("UTC"), List.of());

    /** Copies the list. */
    public OpeningHours {
        windows = List.copyOf(windows);
    }

    /**
     * A daily time of opening.
     *
     * @param days days on which the window begins
     * @param open first local time of the window
     * @param close local time at which it ends; on the next day unless it is later than {@code open}
     */
    public record Window(Set<DayOfWeek> days, LocalTime open, LocalTime close) {
        /** Copies the set. */
        public Window {
            days = Set.copyOf(days);
        }

        private boolean contains(LocalDate start, ZoneId zone, Instant time) {
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

    /** Makes hours of one window. */
    public static OpeningHours of(ZoneId zone, Set<DayOfWeek> days, LocalTime open, LocalTime close) {
        return new OpeningHours(zone, List.of(new Window(days, open, close)));
    }

    /** Tells whether the place is open. */
    public boolean isOpen(Instant time) {
        LocalDate today = time.atZone(zone).toLocalDate();
        return windows.isEmpty()
                || windows.stream()
                        .anyMatch(window ->
                                window.contains(today, zone, time) || window.contains(today.minusDays(1), zone, time));
    }
}
