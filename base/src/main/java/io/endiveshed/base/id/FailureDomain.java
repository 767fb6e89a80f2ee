package io.endiveshed.base.id;

/**
 * Name of a failure domain, which is a group of instances that may fail together.
 *
 * @param value a name of 1 to 1024 characters without control characters
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /** Throws {@link IllegalArgumentException} if the value is malformed. */
    public FailureDomain {
        NameFormat.checkForeign("failure domain", value);
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
