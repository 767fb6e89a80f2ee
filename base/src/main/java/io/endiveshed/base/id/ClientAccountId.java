package io.endiveshed.base.id;

/**
 * Name of a client account.
 *
 * @param value a name of 1 to 128 letters, digits or {@code ._:/-}
 */
public record ClientAccountId(String value) implements Comparable<ClientAccountId> {
    /** Checks the form; throws {@link IllegalArgumentException} if it is wrong. */
    public ClientAccountId {
        Names.check("client account", value);
    }

    @Override
    public int compareTo(ClientAccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
