package io.endiveshed.net.http.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.net.http.HttpServerLimits;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.time.Duration;

/** Failures of requests that were refused before they were complete, so that none of them has run. */
final class RequestFailures {
    private RequestFailures() {}

    static Failure malformed(Throwable cause, HttpServerLimits limits) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        ErrorKind kind = tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.INVALID_REQUEST;
        String message = tooLong
                ? "request line or header section exceeds " + limits.maxHeaderBytes() + " bytes"
                : "malformed HTTP: " + cause.getMessage();
        return Failure.of(kind).message(message).build();
    }

    static Failure timedOut(String part, Duration after) {
        return Failure.of(ErrorKind.REQUEST_TIMEOUT)
                .message("the " + part + " was incomplete or too slow after " + after.toMillis() + " ms")
                .build();
    }

    static Failure bodyTooLarge(HttpServerLimits limits) {
        return Failure.of(ErrorKind.BODY_TOO_LARGE)
                .message("body exceeds " + limits.maxBodyBytes() + " bytes")
                .build();
    }

    static Failure memoryShort() {
        return Failure.of(ErrorKind.OVERLOADED)
                .message("the requests and responses of all connections hold too much memory, and this one makes the"
                        + " least progress")
                .retryAfter(Duration.ofSeconds(1))
                .build();
    }
}
