package io.endiveshed.net.http;

import io.endiveshed.protocol.Header;
import java.util.List;

/** Receives an HTTP response. The last call is exactly one of {@link #ended} and {@link #failed}. */
public interface HttpResponseListener {
    /** Called with the status and header fields of the response. */
    void started(int status, List<Header> headers);

    /** Called with each part of the body. */
    void received(byte[] bytes);

    /** Called when the response is complete. */
    void ended();

    /**
     * Called when the request or the response failed.
     *
     * @param sent whether any byte of the request may have reached the server
     * @param message description of the error
     */
    void failed(boolean sent, String message);
}
