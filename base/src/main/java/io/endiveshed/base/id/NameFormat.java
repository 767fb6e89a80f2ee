package io.endiveshed.base.id;

import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Checks the format of names. Ids take any name that the platform may choose; names that operators of endiveshed choose
 * have a stricter format.
 *
 * <pre>{@code
 * section.parse("instance", text, NameFormat.checked("instance id", InstanceId::new));
 * }</pre>
 */
public final class NameFormat {
    /** Maximum length in characters of a name that operators of endiveshed choose; it bounds the size of metric names. */
    static final int MAX_LENGTH = 128;

    /** Maximum length in characters of a name that the platform chooses; several fit into one datagram between peers. */
    static final int MAX_FOREIGN_LENGTH = 1024;

    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]*");

    private NameFormat() {}

    /**
     * Returns a constructor of ids from names that operators of endiveshed choose; it throws
     * {@link IllegalArgumentException} for a malformed name.
     *
     * @param description kind of name, for the error message
     */
    public static <T> Function<String, T> checked(String description, Function<String, T> constructor) {
        return value -> constructor.apply(check(description, value));
    }

    /**
     * Returns a name that operators of endiveshed chose; throws {@link IllegalArgumentException} if it is malformed.
     *
     * @param description kind of name, for the error message
     */
    static String check(String description, String value) {
        if (value == null
                || value.length() > MAX_LENGTH
                || !ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException(description + " must be 1 to " + MAX_LENGTH
                    + " letters, digits or ._:/- and start with a letter or digit, but was \"" + value + "\"");
        }
        return value;
    }

    /**
     * Returns a name that may come from the platform, which sets no format; throws {@link IllegalArgumentException} if it
     * cannot be the value of a header field.
     *
     * @param description kind of name, for the error message
     */
    static String checkForeign(String description, String value) {
        if (value == null
                || value.isEmpty()
                || value.length() > MAX_FOREIGN_LENGTH
                || value.chars().anyMatch(Character::isISOControl)) {
            throw new IllegalArgumentException(description + " must be 1 to " + MAX_FOREIGN_LENGTH
                    + " characters without control characters, but was \"" + value + "\"");
        }
        return value;
    }
}
