package io.endiveshed.base.id;

/**
 * Revision number of an accepted configuration; it increases with each one.
 *
 * @param value the number, not negative; 0 if there is no configuration yet
 */
public record Revision(long value) implements Comparable<Revision> {
    /** The revision of a process that has no configuration yet. */
    public static final Revision NONE = new Revision(0);

    /** Throws {@link IllegalArgumentException} if the number is negative. */
    public Revision {
        if (value < 0) {
            throw new IllegalArgumentException("revision must not be negative, but was " + value);
        }
    }

    /** Returns the revision that follows this one. */
    public Revision next() {
        return new Revision(value + 1);
    }

    /** Returns whether this revision is newer than the other. */
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
