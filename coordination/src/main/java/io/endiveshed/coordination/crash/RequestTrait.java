package io.endiveshed.coordination.crash;

import java.util.Locale;

/**
 * Something that a request may have in common with others, to which crashes of targets can be attributed.
 *
 * @param kind what the requests have in common
 * @param value digest or id that requests with the trait share; 1 to 128 characters
 */
public record RequestTrait(Kind kind, String value) implements Comparable<RequestTrait> {
    private static final int MAX_LENGTH = 128;

    /** Throws {@link IllegalArgumentException} if the value is empty or too long. */
    public RequestTrait {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException(
                    "the value of a trait has 1 to " + MAX_LENGTH + " characters, not " + value.length());
        }
    }

    /** Orders the most specific traits first. */
    @Override
    public int compareTo(RequestTrait other) {
        int byKind = kind.compareTo(other.kind);
        return byKind == 0 ? value.compareTo(other.value) : byKind;
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(Locale.ROOT) + ":" + value;
    }

    /** Kinds of traits, the most specific first. */
    public enum Kind {
        /** The whole request: client account, method, host, path, query and body. */
        REQUEST,

        /** The request without its method and query. */
        PATH,

        /** A part of a prompt, whose requests may differ in all else. */
        PROMPT_PART
    }
}
