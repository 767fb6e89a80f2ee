package io.endiveshed.base.id;

/**
 * Id of a client account.
 *
 * @param value a name of 1 to 1024 characters without control characters
 */
public record ClientAccountId(String value) implements Comparable<ClientAccountId> {
    /** Throws {@link IllegalArgumentException} if the value is malformed. */
    public ClientAccountId {
        NameFormat.checkForeign("client account", value);
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
