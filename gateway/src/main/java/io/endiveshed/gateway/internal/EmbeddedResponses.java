package io.endiveshed.gateway.internal;

import io.endiveshed.gateway.RequestDialect;
import io.endiveshed.net.http.EmbeddedResponseCheck;
import io.endiveshed.protocol.Header;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Distinguishes responses of targets that begin within the body of another response from quotes. Confined to one
 * event loop.
 *
 * <pre>{@code
 * EmbeddedResponses embedded = new EmbeddedResponses(dialect);
 * embedded.recordSent(requestId);
 * ExchangeOptions.builder().embeddedResponseCheck(embedded.checkFor(isStreaming));
 * }</pre>
 */
final class EmbeddedResponses {
    /** Number of requests sent last whose responses are recognized; targets repeat responses within seconds. */
    private static final int RECENT_REQUESTS = 8192;

    /** Fields of an event; a response that an event quotes has its lines within such fields. */
    private static final Set<String> EVENT_FIELDS = Set.of("data", "event", "id", "retry");

    private final RequestDialect dialect;

    /** Hashes of ids, as the length of an id is up to the caller. */
    private final int[] recentIds = new int[RECENT_REQUESTS];

    private long sentRequests;

    EmbeddedResponses(RequestDialect dialect) {
        this.dialect = dialect;
    }

    /** Records that a request is sent to a target. */
    void recordSent(String requestId) {
        recentIds[(int) (sentRequests % RECENT_REQUESTS)] = requestId.hashCode();
        sentRequests++;
    }

    /** Returns the check for the response to a request. */
    EmbeddedResponseCheck checkFor(boolean isStreaming) {
        return isStreaming ? EmbeddedResponses::hasOtherThanEventFields : this::namesOtherRequest;
    }

    /** Returns whether a line after the status line is no field of an event, as all lines of an event stream are. */
    private static boolean hasOtherThanEventFields(List<Header> response, List<Header> embedded) {
        return embedded.stream().anyMatch(field -> !EVENT_FIELDS.contains(field.name()));
    }

    private boolean namesOtherRequest(List<Header> response, List<Header> embedded) {
        Optional<String> named = dialect.namedRequest(embedded);
        return named.isPresent() && !named.equals(dialect.namedRequest(response)) && wasSent(named.get());
    }

    private boolean wasSent(String requestId) {
        int hash = requestId.hashCode();
        long recorded = Math.min(sentRequests, RECENT_REQUESTS);
        for (int i = 0; i < recorded; i++) {
            if (recentIds[i] == hash) {
                return true;
            }
        }
        return false;
    }
}
