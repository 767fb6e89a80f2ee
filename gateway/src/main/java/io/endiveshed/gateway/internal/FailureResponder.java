package io.endiveshed.gateway.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.gateway.RequestDialect;
import io.endiveshed.net.http.ErrorResponses;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Sends the error responses that the gateway itself produces. */
final class FailureResponder {
    private static final Header JSON = new Header("content-type", "application/json");

    /**
     * Maximum retry delay as a share of the caller's remaining time. Callers wait for at most a third of it; given a
     * longer delay they would give up.
     */
    private static final double MAX_RETRY_DELAY_SHARE = 0.3;

    private FailureResponder() {}

    /**
     * Sends a failure; its retry delay is shortened to fit the caller's remaining time in milliseconds, unless a retry
     * within that time would be refused as well.
     */
    static void send(RequestDialect dialect, ResponseSink sink, Failure failure, double remainingMillis) {
        List<Header> headers = new ArrayList<>();
        headers.add(JSON);
        failure.retryAfter().ifPresent(retryDelay -> {
            Duration longest = longestRetryDelay(remainingMillis);
            boolean isShortened = !isBlock(failure) && retryDelay.compareTo(longest) > 0;
            headers.add(dialect.retryAfterHeader(isShortened ? longest : retryDelay));
        });
        sink.respond(
                failure.kind().httpStatus(),
                headers,
                ErrorResponses.json(failure).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the longest retry delay that a caller with the given remaining time in milliseconds accepts. */
    static Duration longestRetryDelay(double remainingMillis) {
        return Duration.ofMillis((long) Math.max(0, remainingMillis * MAX_RETRY_DELAY_SHARE));
    }

    private static boolean isBlock(Failure failure) {
        return failure.kind() == ErrorKind.REQUEST_BLOCKED || failure.kind() == ErrorKind.PROMPT_BLOCKED;
    }

    /** Returns the failure of a request that may have run. */
    static Failure unknownOutcome(String message) {
        return Failure.of(ErrorKind.TARGET_FAILED)
                .message(message)
                .outcome(Outcome.UNKNOWN)
                .build();
    }
}
