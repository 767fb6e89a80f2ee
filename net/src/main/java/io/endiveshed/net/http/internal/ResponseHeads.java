package io.endiveshed.net.http.internal;

import io.endiveshed.protocol.Header;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Reads heads of responses as the HTTP codec decodes them. */
final class ResponseHeads {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [0-9]{3}");

    private ResponseHeads() {}

    /** Returns header fields in the order in which they arrived. */
    static List<Header> fields(HttpHeaders fields) {
        List<Header> headers = new ArrayList<>();
        fields.forEach(entry -> headers.add(new Header(entry.getKey(), entry.getValue())));
        return headers;
    }

    /** Returns the length in bytes of the body of a response if it has a length. */
    static OptionalLong bodyLength(HttpResponse response) {
        boolean hasLength = !HttpUtil.isTransferEncodingChunked(response) && HttpUtil.isContentLengthSet(response);
        return hasLength ? OptionalLong.of(HttpUtil.getContentLength(response)) : OptionalLong.empty();
    }

    /**
     * Returns whether a head contains a second status line. A server that breaks off in a head and goes on with the next
     * response leaves one, and the fields are of both.
     */
    static boolean isJoined(HttpResponse response, List<Header> headers) {
        return containsStatusLine(response.status().reasonPhrase())
                || headers.stream().anyMatch(header -> containsStatusLine(header.value()));
    }

    private static boolean containsStatusLine(String text) {
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }
}
