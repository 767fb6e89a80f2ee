package io.endiveshed.base.id;

/**
 * Name of a model as callers write it.
 *
 * @param value a name of 1 to 128 letters, digits or {@code ._:/-}
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /** Checks the form; throws {@link IllegalArgumentException} if it is wrong. */
    public ModelName {
        Names.check("model", value);
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
