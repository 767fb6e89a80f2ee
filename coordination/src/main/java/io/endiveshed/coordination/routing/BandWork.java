package io.endiveshed.coordination.routing;

import io.endiveshed.coordination.cost.LengthBand;

/**
 * Engine time still needed for the requests of a target, by length band. Immutable.
 *
 * @param shortNanos work of short prompts, in nanoseconds
 * @param mediumNanos work of medium prompts, in nanoseconds
 * @param longNanos work of long prompts, in nanoseconds
 * @param veryLongNanos work of very long prompts, in nanoseconds
 */
public record BandWork(long shortNanos, long mediumNanos, long longNanos, long veryLongNanos) {
    /** No work. */
    public static final BandWork NONE = new BandWork(0, 0, 0, 0);

    /** Returns the work of one band, in nanoseconds. */
    public long nanosOf(LengthBand band) {
        return switch (band) {
            case SHORT -> shortNanos;
            case MEDIUM -> mediumNanos;
            case LONG -> longNanos;
            case VERY_LONG -> veryLongNanos;
        };
    }

    /** Returns the work of all bands, in nanoseconds. */
    public long totalNanos() {
        return shortNanos + mediumNanos + longNanos + veryLongNanos;
    }

    /** Returns the work of a band and all shorter ones, in nanoseconds. */
    public long nanosUpTo(LengthBand band) {
        long sum = 0;
        for (LengthBand each : LengthBand.values()) {
            if (each.compareTo(band) <= 0) {
                sum += nanosOf(each);
            }
        }
        return sum;
    }

    /** Returns the sum of this and other work. */
    public BandWork plus(BandWork other) {
        return new BandWork(
                shortNanos + other.shortNanos,
                mediumNanos + other.mediumNanos,
                longNanos + other.longNanos,
                veryLongNanos + other.veryLongNanos);
    }

    /** Returns this work minus a part of it; no band falls below zero. */
    public BandWork minus(BandWork part) {
        return new BandWork(
                Math.max(0, shortNanos - part.shortNanos),
                Math.max(0, mediumNanos - part.mediumNanos),
                Math.max(0, longNanos - part.longNanos),
                Math.max(0, veryLongNanos - part.veryLongNanos));
    }

    /** Returns work of a single band, in nanoseconds; the other bands are zero. */
    public static BandWork in(LengthBand band, long nanos) {
        return new BandWork(
                band == LengthBand.SHORT ? nanos : 0,
                band == LengthBand.MEDIUM ? nanos : 0,
                band == LengthBand.LONG ? nanos : 0,
                band == LengthBand.VERY_LONG ? nanos : 0);
    }
}
