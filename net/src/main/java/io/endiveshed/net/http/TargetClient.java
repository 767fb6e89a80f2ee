package io.endiveshed.net.http;

import io.endiveshed.protocol.Header;
import java.util.List;

/** HTTP client for one target. */
@FunctionalInterface
public interface TargetClient {
    /** Sends a request; the listener is notified of the response, but never within this call. */
    TargetExchange send(String method, String path, List<Header> headers, byte[] body, HttpResponseListener listener);
}
