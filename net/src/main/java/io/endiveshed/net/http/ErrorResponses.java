package io.endiveshed.net.http;

import com.google.gson.JsonObject;
import io.endiveshed.base.error.Failure;
import io.endiveshed.protocol.Header;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Sends failures to callers as JSON error responses. */
public final class ErrorResponses {
    private static final Header JSON = new Header("content-type", "application/json");

    private ErrorResponses() {}

    /**
     * Sends a failure as a complete response, with its HTTP status and, if it has a retry time, {@code Retry-After}.
     */
    public static void send(ResponseSink response, Failure failure) {
        List<Header> headers = new ArrayList<>();
        headers.add(JSON);
        failure.retryAfter().ifPresent(wait -> headers.add(new Header("retry-after", Long.toString(toSeconds(wait)))));
        response.respond(failure.kind().httpStatus(), headers, json(failure).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the JSON text of a failure. */
    public static String json(Failure failure) {
        JsonObject error = new JsonObject();
        error.addProperty("code", failure.kind().code());
        error.addProperty("message", failure.message());
        error.addProperty("remedy", failure.remedy());
        error.addProperty("outcome", failure.outcome().code());
        JsonObject root = new JsonObject();
        root.add("error", error);
        return root.toString();
    }

    /**
     * Returns the time in seconds, rounded up, because the header has whole seconds and an early retry would fail
     * again.
     */
    private static long toSeconds(Duration wait) {
        return Math.max(1, (wait.toMillis() + 999) / 1000);
    }
}
