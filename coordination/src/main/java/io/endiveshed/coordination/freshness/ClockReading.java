package io.endiveshed.coordination.freshness;

/**
 * The monotonic clock and the time of day of an instance, read at the same moment.
 *
 * @param monotonicNanos monotonic clock in nanoseconds, which does not advance while the instance is suspended
 * @param wallMillis time of day in milliseconds since the Unix epoch, which may jump
 */
public record ClockReading(long monotonicNanos, long wallMillis) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Returns the time in milliseconds until a later reading, by the clock that advanced more. */
    public long millisUntil(ClockReading later) {
        long monotonic = (later.monotonicNanos - monotonicNanos) / NANOS_PER_MILLI;
        return Math.max(monotonic, later.wallMillis - wallMillis);
    }

    /** Returns the reading that this clock would have given some milliseconds earlier. */
    public ClockReading minusMillis(long millis) {
        return new ClockReading(monotonicNanos - millis * NANOS_PER_MILLI, wallMillis - millis);
    }
}
