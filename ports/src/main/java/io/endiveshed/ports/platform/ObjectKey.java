package io.endiveshed.ports.platform;

/**
 * Key of an object in the store.
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
