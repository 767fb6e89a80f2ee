package io.endiveshed.coordination.claim;

import java.util.List;

/**
 * Answer of a call as the claim log keeps it.
 *
 * @param status HTTP status
 * @param headers header fields
 * @param body body; empty if it was too long to be kept
 * @param isBodyStored whether the body was kept
 */
public record StoredResponse(int status, List<HeaderField> headers, byte[] body, boolean isBodyStored) {
    /**
     * A header field.
     *
     * @param name field name
     * @param value field value
     */
    public record HeaderField(String name, String value) {}

    /** Copies the list of header fields. */
    public StoredResponse {
        headers = List.copyOf(headers);
    }

    /** Makes an answer with its whole body. */
    public static StoredResponse of(int status, List<HeaderField> headers, byte[] body) {
        return new StoredResponse(status, headers, body, true);
    }

    /** Makes the record of a call that ran, without header fields and body. */
    public static StoredResponse statusOnly(int status) {
        return new StoredResponse(status, List.of(), new byte[0], false);
    }

    /** Returns this answer if its encoding fits into a number of bytes, else only its status. */
    StoredResponse within(int maxBytes) {
        return ClaimCodec.answerBytes(this) <= maxBytes ? this : statusOnly(status);
    }
}
