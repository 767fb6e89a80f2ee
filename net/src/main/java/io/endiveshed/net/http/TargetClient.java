package io.endiveshed.net.http;

import io.endiveshed.protocol.Header;
import java.util.List;

/** Sends HTTP requests to one target. */
@FunctionalInterface
public interface TargetClient {
    /** Sends a request; the listener hears of the response, never within this call. */
    TargetExchange send(String method, String path, List<Header> headers, byte[] body, HttpResponseListener listener);
}
