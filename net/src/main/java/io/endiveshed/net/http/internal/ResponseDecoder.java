package io.endiveshed.net.http.internal;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of one connection. Unlike the client codec of Netty, it tells whether bytes are left that belong
 * to no response, and does not match responses to requests by their order.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    private HttpMethod requestMethod = HttpMethod.GET;

    /** Sets the method of the request that is written next, as the response to HEAD has no body. */
    void setRequestMethod(HttpMethod method) {
        requestMethod = method;
    }

    /** Returns whether bytes have arrived that are no complete part of a response. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns the bytes that have arrived and are no complete part of a response. */
    byte[] undecodedBytes() {
        return ByteBufUtil.getBytes(internalBuffer());
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage response) {
        return requestMethod.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(response);
    }
}
