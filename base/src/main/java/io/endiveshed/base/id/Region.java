package io.endiveshed.base.id;

/**
 * Name of a region: a group of failure domains.
 *
 * @param value a name of 1 to 128 letters, digits or {@code ._:/-}
 */
public record Region(String value) implements Comparable<Region> {
    /** Checks the form; throws {@link IllegalArgumentException} if it is wrong. */
    public Region {
        Names.check("region", value);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
