package io.endiveshed.base.id;

/**
 * Number of an accepted configuration; it only grows.
 *
 * @param value 0 for "none yet"
 */
public record Revision(long value) implements Comparable<Revision> {
    /** The revision of a process that has no configuration yet. */
    public static final Revision NONE = new Revision(0);

    /** Checks that the number is not negative. */
    public Revision {
        if (value < 0) {
            throw new IllegalArgumentException("revision must not be negative, but was " + value);
        }
    }

    /** Returns the revision that follows this one. */
    public Revision next() {
        return new Revision(value + 1);
    }

    /** Tells whether this revision is newer than the other. */
    public boolean isAfter(Revision other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
