package io.endiveshed.ports.platform;

/**
 * Name of an object.
 *
 * @param kind kind of object, such as {@code lease}
 * @param name name within the kind; may contain slashes
 */
public record ObjectKey(String kind, String name) {
    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
