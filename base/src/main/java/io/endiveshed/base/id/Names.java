package io.endiveshed.base.id;

import java.util.regex.Pattern;

/** Checks the form of names that operators choose. */
final class Names {
    /** Longest name in characters; keeps frames and metric names bounded. */
    static final int MAX_LENGTH = 128;

    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]*");

    private Names() {}

    static String check(String what, String value) {
        if (value == null || value.length() > MAX_LENGTH || !FORM.matcher(value).matches()) {
            throw new IllegalArgumentException(what + " must be 1 to " + MAX_LENGTH
                    + " letters, digits or ._:/- and start with a letter or digit, but was \"" + value + "\"");
        }
        return value;
    }
}
