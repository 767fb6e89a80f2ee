package io.endiveshed.coordination.freshness;

/**
 * Time at which a process last confirmed its copy of some state, from which the age of the copy is computed.
 *
 * <p>The age counts from the start of the confirming call. The monotonic clock does not advance while an instance is
 * suspended, and the time of day may jump; the age is the larger of the two differences. A suspension or a jump forward
 * can therefore make the copy look older than it is, never younger.
 *
 * <pre>{@code
 * Freshness freshness = Freshness.NEVER;
 * ClockReading before = clock.read();
 * // call the store
 * freshness = Freshness.confirmedAt(before);
 * }</pre>
 *
 * @param confirmed clocks at the start of the confirming call; null if there was none
 */
public record Freshness(ClockReading confirmed) {
    /** Freshness of state that was never confirmed. */
    public static final Freshness NEVER = new Freshness(null);

    /** Returns the freshness of state that was confirmed by a call with the given start. */
    public static Freshness confirmedAt(ClockReading start) {
        return new Freshness(start);
    }

    /** Returns the age in milliseconds; {@link Long#MAX_VALUE} if the state was never confirmed. */
    public long ageMillis(ClockReading now) {
        return confirmed == null ? Long.MAX_VALUE : confirmed.millisUntil(now);
    }

    /** Returns this freshness, or that of another confirmation if it is younger now. */
    public Freshness newer(ClockReading other, ClockReading now) {
        return other.millisUntil(now) < ageMillis(now) ? confirmedAt(other) : this;
    }
}
