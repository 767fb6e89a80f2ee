package io.endiveshed.net.http;

import io.endiveshed.protocol.Header;
import java.util.List;

/**
 * Response of a server that was not passed to the listener of a request.
 *
 * @param reason why it was discarded
 * @param status HTTP status; without meaning if the response is incomplete or malformed
 * @param headers header fields, as far as they were parsed
 * @param request label of the request that uses the connection, or of the last one that did; empty if there was none
 * @param connectionRequests number of requests that have used the connection
 */
public record DiscardedResponse(
        Reason reason, int status, List<Header> headers, String request, int connectionRequests) {
    /** Reasons to discard a response. */
    public enum Reason {
        /** The response names another request than the one that uses the connection. */
        OTHER_REQUEST,

        /** The response names no request and cannot belong to the one that uses the connection. */
        NAMES_NO_REQUEST,

        /** No request uses the connection. */
        NO_REQUEST_IN_PROGRESS,

        /** The response broke off in its head, so that the bytes after it cannot be told from it. */
        INCOMPLETE,

        /** The response began within the body of another one, which had broken off. */
        WITHIN_A_BODY,

        /** The bytes are no HTTP response, or one with a status that HTTP does not define. */
        MALFORMED
    }
}
