package io.endiveshed.ports.platform;

/**
 * Version of an object. It increases with each write in the store, across all objects.
 *
 * @param value at least 1
 */
public record ObjectVersion(long value) implements Comparable<ObjectVersion> {
    @Override
    public int compareTo(ObjectVersion other) {
        return Long.compare(value, other.value);
    }
}
