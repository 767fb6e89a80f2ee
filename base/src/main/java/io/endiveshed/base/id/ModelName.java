package io.endiveshed.base.id;

/**
 * Name of a model, as callers send it in requests.
 *
 * @param value a name of 1 to 128 letters, digits or {@code ._:/-}
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /** Throws {@link IllegalArgumentException} if the value is malformed. */
    public ModelName {
        NameFormat.check("model", value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
