package io.endiveshed.base.id;

/**
 * Name of one instance: a machine on which a process of the system or a target runs.
 *
 * @param value a name of 1 to 128 letters, digits or {@code ._:/-}
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Checks the form; throws {@link IllegalArgumentException} if it is wrong. */
    public InstanceId {
        Names.check("instance id", value);
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
