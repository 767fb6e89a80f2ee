package io.endiveshed.base.id;

/**
 * Name of a region, which is a group of failure domains.
 *
 * @param value a name of 1 to 1024 characters without control characters
 */
public record Region(String value) implements Comparable<Region> {
    /** Throws {@link IllegalArgumentException} if the value is malformed. */
    public Region {
        NameFormat.checkForeign("region", value);
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
