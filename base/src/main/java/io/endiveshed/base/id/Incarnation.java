package io.endiveshed.base.id;

import java.util.random.RandomGenerator;

/**
 * Incarnation of a process: a random number, chosen at each start, that distinguishes the process from earlier ones on
 * the same instance.
 *
 * @param value any 64-bit number
 */
public record Incarnation(long value) {
    /** Creates a random incarnation. */
    public static Incarnation random(RandomGenerator random) {
        return new Incarnation(random.nextLong());
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
