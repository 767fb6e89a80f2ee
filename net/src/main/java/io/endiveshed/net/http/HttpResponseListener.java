package io.endiveshed.net.http;

import io.endiveshed.protocol.Header;
import java.util.List;

/** Receives an HTTP response. Exactly one of {@link #ended} and {@link #failed} is called, last. */
public interface HttpResponseListener {
    /** Called with status and header fields. */
    void started(int status, List<Header> headers);

    /** Called with each part of the body. */
    void received(byte[] bytes);

    /** Called when the body is whole. */
    void ended();

    /**
     * Called when the exchange broke.
     *
     * @param sent whether any byte of the request may have reached the server
     * @param message what was seen
     */
    void failed(boolean sent, String message);
}
