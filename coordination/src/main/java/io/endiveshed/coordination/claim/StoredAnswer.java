package io.endiveshed.coordination.claim;

import java.util.List;

/**
 * Answer of a call as the claim log keeps it.
 *
 * @param status HTTP status
 * @param headers header fields
 * @param body body; empty if it was too long to be kept
 * @param whole whether the body was kept
 */
public record StoredAnswer(int status, List<Field> headers, byte[] body, boolean whole) {
    /**
     * A header field.
     *
     * @param name field name
     * @param value field value
     */
    public record Field(String name, String value) {}

    /** Copies the list of header fields. */
    public StoredAnswer {
        headers = List.copyOf(headers);
    }

    /** Makes an answer with its whole body. */
    public static StoredAnswer of(int status, List<Field> headers, byte[] body) {
        return new StoredAnswer(status, headers, body, true);
    }

    /** Makes the record of a call that ran, without header fields and body. */
    public static StoredAnswer statusOnly(int status) {
        return new StoredAnswer(status, List.of(), new byte[0], false);
    }

    /** Returns this answer if its encoding fits into a number of bytes, else only its status. */
    StoredAnswer within(int maxBytes) {
        return ClaimCodec.answerBytes(this) <= maxBytes ? this : statusOnly(status);
    }
}
