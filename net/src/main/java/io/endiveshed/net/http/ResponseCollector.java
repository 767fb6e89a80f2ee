package io.endiveshed.net.http;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.protocol.Header;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Sends an HTTP request and collects the complete response as text, with limits on size and time.
 *
 * <pre>{@code
 * ResponseCollector.send(client, "GET", "/load", new byte[0], Duration.ofSeconds(2))
 *         .thenAccept(result -> result.forEach(text -> ...));
 * }</pre>
 */
public final class ResponseCollector implements HttpResponseListener {
    /** Maximum size of a response body in bytes. */
    private static final int MAX_BODY_BYTES = 1024 * 1024;

    private static final int FIRST_ERROR_STATUS = 400;

    private final CompletableFuture<Either<Failure, String>> result = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;

    private ResponseCollector() {}

    /** Sends a request; the future never completes exceptionally, but with the body, or with a failure on the left. */
    public static CompletableFuture<Either<Failure, String>> send(
            HttpClient client, String method, String path, byte[] body, Duration timeout) {
        ResponseCollector response = new ResponseCollector();
        HttpExchange exchange = client.send(method, path, List.of(), body, response);
        Failure timedOut =
                failure("no complete response to " + method + " " + path + " within " + timeout, Outcome.UNKNOWN);
        response.result.completeOnTimeout(Either.left(timedOut), timeout.toMillis(), TimeUnit.MILLISECONDS);
        response.result.thenRun(exchange::cancel);
        return response.result;
    }

    @Override
    public void started(int newStatus, List<Header> headers) {
        status = newStatus;
    }

    @Override
    public void received(byte[] bytes) {
        if (body.size() + bytes.length > MAX_BODY_BYTES) {
            result.complete(
                    Either.left(failure("response body exceeds " + MAX_BODY_BYTES + " bytes", Outcome.UNKNOWN)));
            return;
        }
        body.write(bytes, 0, bytes.length);
    }

    @Override
    public void ended() {
        if (status >= FIRST_ERROR_STATUS) {
            result.complete(Either.left(failure("response has status " + status, Outcome.UNKNOWN)));
        } else {
            result.complete(Either.right(body.toString(StandardCharsets.UTF_8)));
        }
    }

    @Override
    public void failed(boolean sent, String message) {
        result.complete(Either.left(failure(message, sent ? Outcome.UNKNOWN : Outcome.NOT_RUN)));
    }

    private static Failure failure(String message, Outcome outcome) {
        return Failure.of(ErrorKind.TARGET_FAILED)
                .message(message)
                .outcome(outcome)
                .build();
    }
}
