package io.endiveshed.net.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Complete HTTP request.
 *
 * @param method HTTP method, such as {@code POST}
 * @param uri path and query
 * @param headers header fields
 * @param body body; empty if the request has none
 */
public record HttpRequestData(String method, String uri, HttpHeaders headers, byte[] body) {
    /** Returns the path without the query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
