package io.endiveshed.base.id;

import java.util.random.RandomGenerator;

/**
 * Random number drawn when a process starts, which tells it from earlier processes of the same instance.
 *
 * @param value any 64-bit number
 */
public record Incarnation(long value) {
    /** Draws a new incarnation. */
    public static Incarnation random(RandomGenerator random) {
        return new Incarnation(random.nextLong());
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
