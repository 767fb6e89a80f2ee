package io.endiveshed.net.engine;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.http.ResponseCollector;
import io.endiveshed.ports.engine.EngineLoad;
import io.endiveshed.ports.engine.EngineOrder;
import io.endiveshed.ports.engine.EnginePort;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * HTTP client of an engine's control interface: {@code GET /load}, {@code GET /v1/requests},
 * {@code DELETE /v1/requests/{id}} and {@code POST /v1/orders}.
 */
public final class HttpEnginePort implements EnginePort {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final byte[] NO_BODY = new byte[0];

    private final HttpClient client;

    /** Creates a port that uses the client's connections. */
    public HttpEnginePort(HttpClient client) {
        this.client = client;
    }

    @Override
    public CompletionStage<Either<Failure, EngineLoad>> load() {
        return call("GET", "/load", NO_BODY, HttpEnginePort::parseLoad);
    }

    @Override
    public CompletionStage<Either<Failure, List<AttemptId>>> running() {
        return call("GET", "/v1/requests", NO_BODY, HttpEnginePort::parseAttempts);
    }

    @Override
    public CompletionStage<Either<Failure, Boolean>> cancel(AttemptId attempt) {
        return call("DELETE", "/v1/requests/" + attempt, NO_BODY, text -> true);
    }

    @Override
    public CompletionStage<Either<Failure, Boolean>> order(EngineOrder order) {
        JsonObject body = new JsonObject();
        body.addProperty("action", order.action().name());
        body.addProperty("subject", order.subject());
        body.addProperty("token", order.token().value());
        return call("POST", "/v1/orders", body.toString().getBytes(StandardCharsets.UTF_8), text -> true);
    }

    private <T> CompletionStage<Either<Failure, T>> call(
            String method, String path, byte[] body, Function<String, T> parser) {
        return ResponseCollector.send(client, method, path, body, CALL_TIMEOUT)
                .thenApply(response -> response.flatMap(text -> parse(path, text, parser)));
    }

    private static <T> Either<Failure, T> parse(String path, String text, Function<String, T> parser) {
        try {
            return Either.right(parser.apply(text));
        } catch (JsonParseException
                | IllegalStateException
                | IllegalArgumentException
                | UnsupportedOperationException
                | NullPointerException e) {
            return Either.left(Failure.of(ErrorKind.TARGET_FAILED)
                    .message("cannot parse the engine's response to " + path + ": " + e.getMessage())
                    .outcome(Outcome.UNKNOWN)
                    .build());
        }
    }

    private static EngineLoad parseLoad(String text) {
        JsonObject load = JsonParser.parseString(text).getAsJsonObject();
        return new EngineLoad(
                load.get("running").getAsInt(),
                load.get("waiting").getAsInt(),
                load.get("used_kv_tokens").getAsLong(),
                load.get("capacity_kv_tokens").getAsLong());
    }

    /** Omits ids that are not attempt ids; they belong to requests that reached the engine without a sidecar. */
    private static List<AttemptId> parseAttempts(String text) {
        JsonArray ids = JsonParser.parseString(text).getAsJsonObject().getAsJsonArray("requests");
        List<AttemptId> attempts = new ArrayList<>();
        ids.forEach(id -> {
            try {
                attempts.add(AttemptId.parse(id.getAsString()));
            } catch (IllegalArgumentException e) {
                // Not an attempt of an entry daemon.
            }
        });
        return attempts;
    }
}
