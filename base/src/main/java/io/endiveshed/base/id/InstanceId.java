package io.endiveshed.base.id;

/**
 * Id of an instance, which is a machine that runs a process of the system or a target.
 *
 * @param value a name of 1 to 1024 characters without control characters
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Throws {@link IllegalArgumentException} if the value is malformed. */
    public InstanceId {
        NameFormat.checkForeign("instance id", value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
