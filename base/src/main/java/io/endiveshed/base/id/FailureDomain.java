package io.endiveshed.base.id;

/**
 * Name of a failure domain: instances that may fail together.
 *
 * @param value a name of 1 to 128 letters, digits or {@code ._:/-}
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /** Checks the form; throws {@link IllegalArgumentException} if it is wrong. */
    public FailureDomain {
        Names.check("failure domain", value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
