package io.endiveshed.entry.internal;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.FailureException;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.IdempotencyKey;
import io.endiveshed.base.id.ModelName;
import io.endiveshed.base.id.NameFormat;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.coordination.blackboard.Blackboard;
import io.endiveshed.coordination.config.AccountConfig;
import io.endiveshed.coordination.config.Configuration;
import io.endiveshed.coordination.config.ModelConfig;
import io.endiveshed.coordination.config.ServiceConfig;
import io.endiveshed.coordination.membership.TargetState;
import io.endiveshed.coordination.readiness.Readiness;
import io.endiveshed.coordination.routing.RoutingRequest;
import io.endiveshed.net.http.ErrorResponses;
import io.endiveshed.net.http.HttpHandler;
import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.MetricsPage;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.tinylog.Logger;

/** HTTP interface for callers: completions, the list of models, plain services, health checks and metrics. */
public final class CallerApi implements HttpHandler {
    /** Bodies up to this many bytes are parsed on the event loop; longer ones would delay other callers there. */
    private static final int MAX_INLINE_PARSE_BYTES = 64 * 1024;

    /**
     * Value of {@code Retry-After} without a configuration; a restarted entry reads it from the store or a sidecar
     * within about a second.
     */
    private static final Duration NO_CONFIGURATION_RETRY_AFTER = Duration.ofSeconds(1);

    private static final String DEADLINE_HEADER = "X-Request-Deadline-Ms";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String SERVICES_PATH = "/services/";
    private static final Header JSON_CONTENT_TYPE = new Header("content-type", "application/json");

    private final Blackboard blackboard;
    private final Dispatcher dispatcher;
    private final Executor parserExecutor;
    private final MetricsPage metrics;

    /** Creates the interface; the executor runs the requests whose bodies are too long to parse on an event loop. */
    public CallerApi(Blackboard blackboard, Dispatcher dispatcher, Executor parserExecutor, MetricsPage metrics) {
        this.metrics = metrics;
        this.blackboard = blackboard;
        this.dispatcher = dispatcher;
        this.parserExecutor = parserExecutor;
    }

    @Override
    public void handle(HttpRequestData request, ResponseSink response) {
        if (request.body().length <= MAX_INLINE_PARSE_BYTES) {
            answer(request, response);
            return;
        }
        try {
            parserExecutor.execute(() -> answer(request, response));
        } catch (RejectedExecutionException e) {
            ErrorResponses.send(
                    response,
                    Failure.of(ErrorKind.OVERLOADED)
                            .message("too many long request bodies are waiting to be parsed")
                            .retryAfter(Duration.ofSeconds(1))
                            .build());
        }
    }

    private void answer(HttpRequestData request, ResponseSink response) {
        try {
            route(request, response);
        } catch (FailureException e) {
            ErrorResponses.send(response, e.failure());
        } catch (RuntimeException e) {
            Logger.error(e, "{} {} ended by an unexpected error", request.method(), request.path());
            ErrorResponses.send(
                    response,
                    Failure.of(ErrorKind.INTERNAL)
                            .message("unexpected error")
                            .outcome(Outcome.UNKNOWN)
                            .build());
        }
    }

    private void route(HttpRequestData request, ResponseSink response) {
        String path = request.path();
        switch (path) {
            case "/healthz" -> respondText(response, "ok\n");
            case "/metrics" -> respondText(response, metrics.text());
            case "/readyz" -> handleReadiness(response);
            case "/v1/models" -> handleModelList(request, response);
            case "/v1/completions", "/v1/chat/completions" -> handleCompletion(request, response);
            default -> {
                if (!path.startsWith(SERVICES_PATH)) {
                    throw failure(ErrorKind.NOT_FOUND, "no such path: " + path);
                }
                handleServiceCall(request, response);
            }
        }
    }

    private void handleReadiness(ResponseSink response) {
        boolean configured = blackboard.configuration().read() != Configuration.NONE;
        boolean hasTarget = blackboard.fleet().read().targets().stream()
                .anyMatch(target -> target.state().compareTo(TargetState.LEAVING) < 0);
        new Readiness(configured, hasTarget, false).reasonNotReady().ifPresent(reason -> {
            throw new FailureException(Failure.of(ErrorKind.NO_TARGET)
                    .message(reason)
                    .retryAfter(NO_CONFIGURATION_RETRY_AFTER)
                    .build());
        });
        respondText(response, "ready\n");
    }

    private void handleModelList(HttpRequestData request, ResponseSink response) {
        authenticate(request);
        JsonArray data = new JsonArray();
        for (ModelConfig model : blackboard.configuration().read().models()) {
            JsonObject entry = new JsonObject();
            entry.addProperty("id", model.name().value());
            entry.addProperty("object", "model");
            data.add(entry);
        }
        JsonObject list = new JsonObject();
        list.addProperty("object", "list");
        list.add("data", data);
        response.respond(200, List.of(JSON_CONTENT_TYPE), list.toString().getBytes(StandardCharsets.UTF_8));
    }

    private void handleCompletion(HttpRequestData request, ResponseSink response) {
        if (!request.method().equals("POST")) {
            throw failure(ErrorKind.INVALID_REQUEST, "completions need POST, not " + request.method());
        }
        AccountConfig account = authenticate(request);
        CompletionBody body = CompletionBody.parse(request.body());
        ModelConfig model = model(body.model());
        checkPermission(account, body.model());
        RoutingRequest routing =
                new RoutingRequest(TargetKind.ENGINE, body.model(), body.estimatedPromptTokens(), body.maxTokens());
        dispatcher.dispatch(
                new CallSpec(
                        routing,
                        account.id(),
                        account.weight(),
                        account.priority(),
                        deadlineMillis(request, model.defaultDeadline()),
                        request.method(),
                        request.uri(),
                        List.of(JSON_CONTENT_TYPE),
                        "",
                        request.body(),
                        body.streaming()),
                response);
    }

    private void handleServiceCall(HttpRequestData request, ResponseSink response) {
        AccountConfig account = authenticate(request);
        String rest = request.uri().substring(SERVICES_PATH.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        ServiceConfig config = service(name);
        checkPermission(account, name);
        Optional<String> key = idempotencyKey(request);
        if (key.isEmpty() && config.isNonRepeatable(request.method(), path)) {
            throw failure(ErrorKind.IDEMPOTENCY_KEY_REQUIRED, request.method() + " " + path + " may not be repeated");
        }
        dispatcher.dispatch(
                new CallSpec(
                        new RoutingRequest(TargetKind.SERVICE, name, 0, 0),
                        account.id(),
                        account.weight(),
                        account.priority(),
                        deadlineMillis(request, config.defaultDeadline()),
                        request.method(),
                        path,
                        contentType(request),
                        key.orElse(""),
                        request.body(),
                        false),
                response);
    }

    /**
     * Throws a {@link FailureException} if there is no configuration. All keys are unknown then, and a valid key must
     * not be rejected as invalid.
     */
    private void requireConfiguration() {
        if (blackboard.configuration().read() == Configuration.NONE) {
            throw new FailureException(Failure.of(ErrorKind.NO_TARGET)
                    .message("the entry daemon has no configuration yet")
                    .retryAfter(NO_CONFIGURATION_RETRY_AFTER)
                    .build());
        }
    }

    private static void checkPermission(AccountConfig account, String name) {
        if (!account.mayUse(name)) {
            throw failure(ErrorKind.NOT_PERMITTED, "client account " + account.id() + " may not use " + name);
        }
    }

    private AccountConfig authenticate(HttpRequestData request) {
        requireConfiguration();
        return BearerKeys.authenticate(
                blackboard.configuration().read(), request.headers().get("Authorization"));
    }

    private ModelConfig model(String name) {
        return parseName(name, ModelName::new)
                .flatMap(blackboard.configuration().read()::model)
                .orElseThrow(() -> failure(ErrorKind.NOT_FOUND, "unknown model \"" + name + "\""));
    }

    private ServiceConfig service(String name) {
        return parseName(name, NameFormat.checked("service", ServiceName::new))
                .flatMap(blackboard.configuration().read()::service)
                .orElseThrow(() -> failure(ErrorKind.NOT_FOUND, "unknown service \"" + name + "\""));
    }

    private static <T> Optional<T> parseName(String name, java.util.function.Function<String, T> type) {
        try {
            return Optional.of(type.apply(name));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<String> idempotencyKey(HttpRequestData request) {
        String key = request.headers().get(IDEMPOTENCY_KEY_HEADER);
        if (key == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(new IdempotencyKey(key).value());
        } catch (IllegalArgumentException e) {
            throw failure(ErrorKind.INVALID_REQUEST, e.getMessage());
        }
    }

    private static long deadlineMillis(HttpRequestData request, Duration defaultDeadline) {
        String text = request.headers().get(DEADLINE_HEADER);
        if (text == null) {
            return defaultDeadline.toMillis();
        }
        try {
            long millis = Long.parseLong(text);
            if (millis > 0 && millis <= Duration.ofDays(1).toMillis()) {
                return millis;
            }
        } catch (NumberFormatException e) {
            // reported below, like a number out of range
        }
        throw failure(
                ErrorKind.INVALID_REQUEST,
                DEADLINE_HEADER + " must be 1 to 86400000 milliseconds, but was \"" + text + "\"");
    }

    private static List<Header> contentType(HttpRequestData request) {
        String type = request.headers().get("content-type");
        return type == null ? List.of() : List.of(new Header("content-type", type));
    }

    private static void respondText(ResponseSink response, String text) {
        response.respond(200, List.of(new Header("content-type", "text/plain")), text.getBytes(StandardCharsets.UTF_8));
    }

    private static FailureException failure(ErrorKind kind, String message) {
        return new FailureException(Failure.of(kind).message(message).build());
    }
}
