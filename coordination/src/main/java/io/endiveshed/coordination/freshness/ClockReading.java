package io.endiveshed.coordination.freshness;

/**
 * Both clocks of an instance, read at one moment.
 *
 * @param monotonicNanos monotonic clock in nanoseconds, which does not count suspensions
 * @param wallMillis time of day in milliseconds, which may jump
 */
public record ClockReading(long monotonicNanos, long wallMillis) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Returns the milliseconds until a later reading, by the clock that shows more. */
    public long millisUntil(ClockReading later) {
        long monotonic = (later.monotonicNanos - monotonicNanos) / NANOS_PER_MILLI;
        return Math.max(monotonic, later.wallMillis - wallMillis);
    }
}
