package io.endiveshed.gateway;

import io.endiveshed.base.error.Failure;
import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.ResponseOwner;
import io.endiveshed.protocol.Header;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Reads and writes the HTTP header fields of a platform, in requests and responses between callers, entries and
 * targets. Implementations translate only; routing and retry decisions are made by the gateway.
 */
public interface RequestDialect {
    /** Decodes a caller's request; on the left is the failure to send if the request cannot be read. */
    Either<Failure, CallerRequest> decodeRequest(HttpRequestData request);

    /** Returns the header fields of a request that is forwarded to a target. */
    List<Header> targetHeaders(CallerRequest request, ForwardingOptions options);

    /** Returns the id of the request to which a response with these header fields says that it belongs. */
    Optional<String> namedRequest(List<Header> responseHeaders);

    /** Returns whether a response with these header fields belongs to the request with the given id. */
    ResponseOwner responseOwner(String requestId, List<Header> responseHeaders);

    /** Decodes status and header fields of a target's response. */
    TargetResponseHead decodeResponseHead(int status, List<Header> headers);

    /** Returns the response header fields that the caller gets, without those of the target's connection. */
    List<Header> callerHeaders(List<Header> headers);

    /** Returns the header field that tells a caller how long to wait before it retries. */
    Header retryAfterHeader(Duration wait);
}
