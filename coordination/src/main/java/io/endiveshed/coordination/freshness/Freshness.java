package io.endiveshed.coordination.freshness;

/**
 * Age of a belief, counted from before the call that last confirmed it.
 *
 * <p>The monotonic clock stands still while an instance is suspended, and the time of day may jump. The age is the
 * larger of the two, so a suspension or a jump forward makes a belief look older than it is, never younger.
 *
 * <pre>{@code
 * Freshness freshness = Freshness.NEVER;
 * ClockReading before = clock.read();
 * // call the store
 * freshness = Freshness.confirmedAt(before);
 * }</pre>
 *
 * @param confirmed when the confirming call began; null if there was none
 */
public record Freshness(ClockReading confirmed) {
    /** A belief that was never confirmed. */
    public static final Freshness NEVER = new Freshness(null);

    /** Returns the freshness of a belief that a call confirmed. */
    public static Freshness confirmedAt(ClockReading start) {
        return new Freshness(start);
    }

    /** Returns the age in milliseconds; {@link Long#MAX_VALUE} if the belief was never confirmed. */
    public long ageMillis(ClockReading now) {
        return confirmed == null ? Long.MAX_VALUE : confirmed.millisUntil(now);
    }
}
