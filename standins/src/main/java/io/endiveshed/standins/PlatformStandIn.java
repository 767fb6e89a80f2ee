package io.endiveshed.standins;

import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.HttpServer;
import io.endiveshed.net.http.HttpServerLimits;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.net.platform.PlatformJson;
import io.endiveshed.net.platform.PlatformPaths;
import io.endiveshed.ports.platform.ListedInstance;
import io.endiveshed.ports.platform.ObjectKey;
import io.endiveshed.ports.platform.ObjectVersion;
import io.endiveshed.ports.platform.StoreError;
import io.endiveshed.protocol.Header;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** HTTP server with the platform's object API and instance list, backed by an {@link InMemoryObjectStore}. */
public final class PlatformStandIn {
    private static final Header JSON = new Header("content-type", "application/json");
    private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.UTF_8);

    private final InMemoryObjectStore store;
    private final HttpServer server;
    private volatile List<ListedInstance> instances = List.of();

    /** Creates a platform that listens on the address after {@link #start}. */
    public PlatformStandIn(EventLoopGroup loops, InetSocketAddress address, InMemoryObjectStore store) {
        this.store = store;
        this.server = new HttpServer(loops, address, HttpServerLimits.defaults(), this::handle);
    }

    /** Binds the address and starts listening. */
    public void start() {
        server.start();
    }

    /** Returns the port that the platform listens on. */
    public int port() {
        return server.port();
    }

    /** Sets the instances that the instance list returns. */
    public void setInstances(List<ListedInstance> value) {
        this.instances = List.copyOf(value);
    }

    /** Stops listening for connections. */
    public void stop() {
        server.stop();
    }

    private void handle(HttpRequestData request, ResponseSink response) {
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        String path = request.path();
        if (path.equals(PlatformPaths.INSTANCES)) {
            respond(response, 200, PlatformJson.instances(instances));
        } else if (path.startsWith(PlatformPaths.WATCH)) {
            handleWatch(path.substring(PlatformPaths.WATCH.length()), query, response);
        } else if (path.startsWith(PlatformPaths.OBJECTS)) {
            handleObject(request, path.substring(PlatformPaths.OBJECTS.length()), query, response);
        } else {
            respond(response, 404, EMPTY_OBJECT);
        }
    }

    private void handleObject(HttpRequestData request, String path, QueryStringDecoder query, ResponseSink response) {
        int slash = path.indexOf('/');
        if (slash < 0) {
            respondWhenComplete(
                    response, store.list(decode(path), parameter(query, PlatformPaths.PREFIX)), PlatformJson::objects);
            return;
        }
        ObjectKey key = new ObjectKey(decode(path.substring(0, slash)), decode(path.substring(slash + 1)));
        if (request.method().equals("PUT")) {
            handlePut(request, key, response);
        } else {
            store.get(key)
                    .thenAccept(result -> result.peekLeft(error -> respondError(response, error))
                            .peek(found -> found.ifPresentOrElse(
                                    object -> respond(response, 200, PlatformJson.object(object)),
                                    () -> respond(response, 404, EMPTY_OBJECT))));
        }
    }

    private void handlePut(HttpRequestData request, ObjectKey key, ResponseSink response) {
        byte[] value = PlatformJson.readValue(request.body());
        Optional<String> match = Optional.ofNullable(request.headers().get(PlatformPaths.IF_MATCH));
        boolean isCreate = request.headers().contains(PlatformPaths.IF_NONE_MATCH);
        if (isCreate == match.isPresent()) {
            respond(response, 400, EMPTY_OBJECT);
            return;
        }
        CompletionStage<Either<StoreError, ObjectVersion>> result = isCreate
                ? store.create(key, value)
                : store.update(key, new ObjectVersion(Long.parseLong(match.get().replace("\"", ""))), value);
        respondWhenComplete(response, result, PlatformJson::version);
    }

    private void handleWatch(String kind, QueryStringDecoder query, ResponseSink response) {
        ObjectVersion after = new ObjectVersion(Long.parseLong(parameter(query, PlatformPaths.AFTER)));
        Duration timeout = Duration.ofMillis(Long.parseLong(parameter(query, PlatformPaths.TIMEOUT_MS)));
        respondWhenComplete(response, store.watch(decode(kind), after, timeout), PlatformJson::batch);
    }

    private static <T> void respondWhenComplete(
            ResponseSink response, CompletionStage<Either<StoreError, T>> result, Function<T, byte[]> encoder) {
        result.thenAccept(outcome -> outcome.peekLeft(error -> respondError(response, error))
                .peek(value -> respond(response, 200, encoder.apply(value))));
    }

    /** Responds with the status of an error; simulates a lost reply by closing the connection before any byte of it. */
    private static void respondError(ResponseSink response, StoreError error) {
        switch (error) {
            case CONFLICT -> respond(response, 412, EMPTY_OBJECT);
            case TOO_OLD -> respond(response, 410, EMPTY_OBJECT);
            case TOO_LARGE -> respond(response, 413, EMPTY_OBJECT);
            case UNKNOWN -> response.abort();
            default -> respond(response, 503, EMPTY_OBJECT);
        }
    }

    private static void respond(ResponseSink response, int status, byte[] body) {
        response.respond(status, List.of(JSON), body);
    }

    private static String parameter(QueryStringDecoder query, String name) {
        return query.parameters().getOrDefault(name, List.of("")).get(0);
    }

    private static String decode(String text) {
        return QueryStringDecoder.decodeComponent(text);
    }
}
