package io.endiveshed.net.http.internal;

import io.endiveshed.net.http.EmbeddedResponseCheck;
import io.endiveshed.protocol.Header;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Detects whether the body of a response was completed with the bytes of another response: the server broke off in the
 * body and wrote the other response on the same connection.
 *
 * <p>Three things show it. The body contains a head that belongs to another response. Or, if it ends with its connection,
 * it contains the response's own head once more. Or, if it has a length, it ends within a head or within the body that a
 * head announces, and the bytes that follow go on with that. A body that quotes a response is followed by nothing, or by the head of the next response.
 */
final class ResponseBodyGuard {
    private static final byte[] RESPONSE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    private static final String LENGTH_FIELD = "Content-Length";
    private static final String CHUNKED_FIELD = "Transfer-Encoding";
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int FIRST_FINAL_STATUS = 200;

    private final int status;
    private final List<Header> headers;
    private final OptionalLong length;
    private final boolean endsWithConnection;
    private final EmbeddedResponseCheck check;
    private final ResponseHeadScanner scanner = new ResponseHeadScanner(new EmbeddedHeads());
    private boolean isInterrupted;
    private boolean mayContinue;
    private byte[] following = new byte[0];
    private int scannedFollowing;
    private byte[] rest = new byte[0];
    private int embeddedStatus;
    private List<Header> embeddedHeaders = List.of();

    /**
     * Creates the guard of one response.
     *
     * @param status status of the response
     * @param headers header fields of the response
     * @param length length of the body in bytes, if the response announces it
     * @param check recognizes the header fields of other responses
     */
    ResponseBodyGuard(int status, List<Header> headers, OptionalLong length, EmbeddedResponseCheck check) {
        this.status = status;
        this.headers = headers;
        this.length = length;
        this.endsWithConnection = length.isEmpty()
                && headers.stream().noneMatch(header -> header.name().equalsIgnoreCase(CHUNKED_FIELD));
        this.check = check;
    }

    /** Appends a part of the body; returns the bytes, of this part and of earlier ones, that can be passed on. */
    byte[] append(byte[] part) {
        return scanner.scan(part);
    }

    /** Returns whether another response has begun within the body; all bytes that were passed on are before it. */
    boolean isInterrupted() {
        return isInterrupted;
    }

    /** Returns what is known at the end of the body, before any bytes that follow it. */
    Ending ending() {
        if (isInterrupted) {
            return Ending.INTERRUPTED;
        }
        return length.isPresent() && (mayContinue || scanner.isInHead()) ? Ending.UNCERTAIN : Ending.WHOLE;
    }

    /** Returns the status of the response that has begun within the body; 0 if it is not known. */
    int embeddedStatus() {
        return embeddedStatus;
    }

    /** Returns the header fields of the response that has begun within the body, as far as they are known. */
    List<Header> embeddedHeaders() {
        return embeddedHeaders;
    }

    /** Returns the end of the body that {@link #append} has not returned. */
    byte[] rest() {
        return following.length == 0 ? scanner.heldBytes() : rest;
    }

    /** Appends bytes that follow a body whose ending is uncertain, and returns what is known now. */
    Ending follow(byte[] bytes) {
        rest = rest();
        int before = following.length;
        following = Arrays.copyOf(following, before + bytes.length);
        System.arraycopy(bytes, 0, following, before, bytes.length);
        int compared = Math.min(following.length, RESPONSE_START.length);
        if (Arrays.equals(following, 0, compared, RESPONSE_START, 0, compared)) {
            return compared == RESPONSE_START.length ? Ending.WHOLE : Ending.UNCERTAIN;
        }
        if (mayContinue || scanner.isAfterStatusLine()) {
            return Ending.INTERRUPTED;
        }
        scanner.scan(Arrays.copyOfRange(following, scannedFollowing, following.length));
        scannedFollowing = following.length;
        if (isInterrupted || scanner.isAfterStatusLine()) {
            return Ending.INTERRUPTED;
        }
        return scanner.isInHead() ? Ending.UNCERTAIN : Ending.WHOLE;
    }

    /** Returns whether a response with this head goes on after the end of the body. */
    private boolean endsAfterBody(int headStatus, List<Header> fields, long headEnd) {
        if (length.isEmpty()
                || headStatus < FIRST_FINAL_STATUS
                || headStatus == NO_CONTENT
                || headStatus == NOT_MODIFIED) {
            return false;
        }
        return announcedLength(fields)
                .map(announced -> headEnd + announced > length.getAsLong())
                .orElse(true);
    }

    private static Optional<Long> announcedLength(List<Header> fields) {
        return fields.stream()
                .filter(field -> field.name().equalsIgnoreCase(LENGTH_FIELD))
                .map(Header::value)
                .filter(value -> value.matches("[0-9]{1,18}"))
                .map(Long::parseLong)
                .findFirst();
    }

    /** How a body has ended. */
    enum Ending {
        /** The body is the response's own. */
        WHOLE,

        /** Bytes that follow would show whether the body was completed with another response. */
        UNCERTAIN,

        /** The body was completed with another response. */
        INTERRUPTED
    }

    private final class EmbeddedHeads implements ResponseHeadScanner.Listener {
        @Override
        public boolean fieldRead(int headStatus, List<Header> fields) {
            if (check.isOtherResponse(headers, fields)) {
                recordInterruption(headStatus, fields);
            }
            return isInterrupted;
        }

        @Override
        public boolean headEnded(int headStatus, List<Header> fields, long offset) {
            boolean isAcrossEnd = following.length > 0;
            boolean isRepeated = endsWithConnection && headStatus == status && fields.equals(headers);
            if (isAcrossEnd || isRepeated) {
                recordInterruption(headStatus, fields);
            }
            mayContinue |= endsAfterBody(headStatus, fields, offset);
            return isInterrupted;
        }

        private void recordInterruption(int headStatus, List<Header> fields) {
            isInterrupted = true;
            embeddedStatus = headStatus;
            embeddedHeaders = List.copyOf(fields);
        }
    }
}
