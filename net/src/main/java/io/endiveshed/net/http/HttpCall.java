package io.endiveshed.net.http;

import io.endiveshed.base.time.Scheduler;
import io.endiveshed.protocol.Header;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.agrona.concurrent.NanoClock;
import org.tinylog.Logger;

/**
 * Single HTTP call whose response body is parsed to a value.
 *
 * @param <T> type of the value
 */
public final class HttpCall<T> implements HttpResponseListener {
    /** HTTP status of the response if the requested object does not exist. */
    public static final int NOT_FOUND = 404;

    /** Result in place of an HTTP status: no byte of the request was sent. */
    public static final int NOT_SENT = 0;

    /**
     * Result in place of an HTTP status: the connection broke, the call timed out, or the response cannot be parsed.
     */
    public static final int NO_VALID_ANSWER = -1;

    /** Result in place of an HTTP status: the body of the response exceeds the maximum size of the call. */
    public static final int TOO_LARGE = -2;

    /**
     * Maximum size of a response body in bytes, unless a smaller one is given; a list of configuration pieces is expected
     * to reach 6 MB in two years.
     */
    private static final int DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;

    private static final String CONTENT_LENGTH = "Content-Length";

    /** Lengths that fit into a long; the codec rejects what is no length. */
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private static final int SUCCESS_STATUS_CLASS = 2;
    private static final int STATUS_CLASS_SIZE = 100;

    private final BiFunction<List<Header>, byte[], T> parser;
    private final int maxBodyBytes;
    private final CompletableFuture<Either<Integer, T>> result = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Predicate<List<Header>> isOwnResponse = response -> true;
    private long largeBodyBytes = Long.MAX_VALUE;
    private Runnable whenLarge = () -> {};
    private List<Header> responseHeaders = List.of();
    private int status;
    private NanoClock clock;
    private volatile long lastPartNanos;

    /** Creates a call whose response body the function parses; the function may throw a {@link RuntimeException}. */
    public HttpCall(Function<byte[], T> parser) {
        this(parser, DEFAULT_MAX_BODY_BYTES);
    }

    /** Creates a call that fails as soon as its response body exceeds the given size in bytes. */
    public HttpCall(Function<byte[], T> parser, int maxBodyBytes) {
        this((headers, content) -> parser.apply(content), maxBodyBytes);
    }

    /** Creates a call whose response the function parses from its header fields and its body. */
    public HttpCall(BiFunction<List<Header>, byte[], T> parser, int maxBodyBytes) {
        this.parser = parser;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Discards responses whose header fields do not satisfy the predicate; they belong to an earlier request. */
    public HttpCall<T> accepting(Predicate<List<Header>> predicate) {
        isOwnResponse = predicate;
        return this;
    }

    /**
     * Runs the action once, on the connection's event loop, as soon as the body of a successful response is known to
     * exceed a size in bytes, before the body is complete.
     */
    public HttpCall<T> whenLarge(long bytes, Runnable action) {
        largeBodyBytes = bytes;
        whenLarge = action;
        return this;
    }

    /**
     * Sends the request. The stage never completes exceptionally: it has the value, or on the left the HTTP status,
     * {@link #NOT_SENT}, {@link #NO_VALID_ANSWER} or {@link #TOO_LARGE}. Must be called at most once.
     */
    public CompletionStage<Either<Integer, T>> send(
            HttpClient client,
            Scheduler scheduler,
            Duration timeout,
            String method,
            String path,
            List<Header> headers,
            byte[] content) {
        return send(client, scheduler, ResponseTimeouts.fixed(timeout), method, path, headers, content);
    }

    /** Sends the request like the other method, with timeouts that may depend on the progress of the response. */
    public CompletionStage<Either<Integer, T>> send(
            HttpClient client,
            Scheduler scheduler,
            ResponseTimeouts timeouts,
            String method,
            String path,
            List<Header> headers,
            byte[] content) {
        ExchangeOptions options = ExchangeOptions.builder()
                .responseOwner(response ->
                        isOwnResponse.test(response) ? ResponseOwner.CURRENT_REQUEST : ResponseOwner.OTHER_REQUEST)
                // The body of a response to this call holds no response to another one, and the reverse.
                .embeddedResponseCheck(
                        (response, embedded) -> isOwnResponse.test(response) != isOwnResponse.test(embedded))
                .build();
        clock = scheduler;
        long startNanos = scheduler.nanoTime();
        lastPartNanos = startNanos;
        HttpExchange exchange = client.send(method, path, headers, content, this, options);
        String request = method + " " + path;
        scheduler.schedule(timeouts.response(), () -> checkProgress(scheduler, timeouts, startNanos, request));
        // Has no effect on an exchange that has ended; any other would keep reading a response that nobody waits for.
        result.thenRun(exchange::cancel);
        return result;
    }

    private void checkProgress(Scheduler scheduler, ResponseTimeouts timeouts, long startNanos, String request) {
        if (result.isDone()) {
            return;
        }
        // Read before the clock, as a part may arrive on another thread meanwhile.
        long partNanos = lastPartNanos;
        long now = clock.nanoTime();
        long remainingNanos = timeouts.remainingNanos(now - startNanos, now - partNanos, body.size());
        if (remainingNanos > 0) {
            scheduler.schedule(
                    Duration.ofNanos(remainingNanos), () -> checkProgress(scheduler, timeouts, startNanos, request));
        } else if (result.complete(Either.left(NO_VALID_ANSWER)) && body.size() > 0) {
            Logger.warn(
                    "the response to {} was not complete after {} ms: {} bytes of its body arrived, the last ones {} ms"
                            + " ago",
                    request,
                    TimeUnit.NANOSECONDS.toMillis(now - startNanos),
                    body.size(),
                    TimeUnit.NANOSECONDS.toMillis(now - partNanos));
        }
    }

    @Override
    public void started(int value, List<Header> headers) {
        status = value;
        responseHeaders = headers;
        long announced = announcedBytes(headers);
        notifyIfLarge(announced);
        if (announced > maxBodyBytes) {
            result.complete(Either.left(TOO_LARGE));
        }
    }

    @Override
    public void received(byte[] bytes) {
        if (body.size() + bytes.length <= maxBodyBytes) {
            body.writeBytes(bytes);
            lastPartNanos = clock.nanoTime();
            notifyIfLarge(body.size());
        } else {
            result.complete(Either.left(TOO_LARGE));
        }
    }

    @Override
    public void ended() {
        result.complete(isSuccess() ? parseBody() : Either.left(status));
    }

    @Override
    public void failed(boolean sent, String message) {
        result.complete(Either.left(sent ? NO_VALID_ANSWER : NOT_SENT));
    }

    private void notifyIfLarge(long bytes) {
        if (bytes > largeBodyBytes && isSuccess()) {
            largeBodyBytes = Long.MAX_VALUE;
            whenLarge.run();
        }
    }

    private boolean isSuccess() {
        return status / STATUS_CLASS_SIZE == SUCCESS_STATUS_CLASS;
    }

    /** Returns the length of the body that the header fields announce; 0 if they announce none. */
    private static long announcedBytes(List<Header> headers) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(CONTENT_LENGTH)
                        && LENGTH.matcher(header.value()).matches())
                .mapToLong(header -> Long.parseLong(header.value()))
                .findFirst()
                .orElse(0);
    }

    private Either<Integer, T> parseBody() {
        try {
            return Either.right(parser.apply(responseHeaders, body.toByteArray()));
        } catch (RuntimeException e) {
            Logger.warn("cannot parse the body of an HTTP response: {}", e.getMessage());
            return Either.left(NO_VALID_ANSWER);
        }
    }
}
