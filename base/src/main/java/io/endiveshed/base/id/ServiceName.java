package io.endiveshed.base.id;

/**
 * Name of a plain service.
 *
 * @param value a name of 1 to 1024 characters without control characters
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Throws {@link IllegalArgumentException} if the value is malformed. */
    public ServiceName {
        NameFormat.checkForeign("service", value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
