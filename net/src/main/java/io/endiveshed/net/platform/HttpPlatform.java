package io.endiveshed.net.platform;

import io.endiveshed.base.time.Scheduler;
import io.endiveshed.net.http.HttpCall;
import io.endiveshed.net.http.HttpClient;
import io.endiveshed.net.http.ResponseTimeouts;
import io.endiveshed.ports.platform.InstanceList;
import io.endiveshed.ports.platform.ListedInstance;
import io.endiveshed.ports.platform.ObjectKey;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.ports.platform.ObjectVersion;
import io.endiveshed.ports.platform.StoreError;
import io.endiveshed.ports.platform.StoredObject;
import io.endiveshed.ports.platform.WatchBatch;
import io.endiveshed.protocol.Header;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * HTTP client of the platform's object API and list of instances; {@link PlatformPaths} describes the calls.
 *
 * <pre>{@code
 * HttpPlatform platform = new HttpPlatform(new HttpClient(loops, address), scheduler, Duration.ofSeconds(2));
 * platform.get(new ObjectKey("lease", "weights-1")).thenAccept(...);
 * }</pre>
 */
public final class HttpPlatform implements ObjectStore, InstanceList {
    private static final byte[] NO_BODY = {};
    private static final Header JSON = new Header("content-type", "application/json");

    private final HttpClient client;
    private final Scheduler scheduler;
    private final Duration callTimeout;

    /**
     * Creates a client whose calls fail after the timeout, and a watch after its wait and the timeout. A reading call whose
     * answer still arrives then goes on until it pauses for this time, see {@link ResponseTimeouts}.
     */
    public HttpPlatform(HttpClient client, Scheduler scheduler, Duration callTimeout) {
        this.client = Objects.requireNonNull(client);
        this.scheduler = Objects.requireNonNull(scheduler);
        this.callTimeout = Objects.requireNonNull(callTimeout);
    }

    @Override
    public CompletionStage<Either<StoreError, Optional<StoredObject>>> get(ObjectKey key) {
        return read(
                        PlatformPaths.object(key.kind(), key.name()),
                        callTimeout,
                        body -> Optional.of(PlatformJson.readObject(body)))
                .thenApply(result -> result.fold(
                        status ->
                                status == HttpCall.NOT_FOUND ? Either.right(Optional.empty()) : toError(status, false),
                        Either::right));
    }

    @Override
    public CompletionStage<Either<StoreError, List<StoredObject>>> list(String kind, String namePrefix) {
        return read(PlatformPaths.list(kind, namePrefix), callTimeout, PlatformJson::readObjects)
                .thenApply(HttpPlatform::toReadResult);
    }

    @Override
    public CompletionStage<Either<StoreError, ObjectVersion>> create(ObjectKey key, byte[] value) {
        return put(key, new Header(PlatformPaths.IF_NONE_MATCH, "*"), value);
    }

    @Override
    public CompletionStage<Either<StoreError, ObjectVersion>> update(
            ObjectKey key, ObjectVersion expected, byte[] value) {
        return put(key, new Header(PlatformPaths.IF_MATCH, "\"" + expected.value() + "\""), value);
    }

    @Override
    public CompletionStage<Either<StoreError, WatchBatch>> watch(String kind, ObjectVersion after, Duration timeout) {
        return read(
                        PlatformPaths.watch(kind, after.value(), timeout),
                        timeout.plus(callTimeout),
                        PlatformJson::readBatch)
                .thenApply(HttpPlatform::toReadResult);
    }

    @Override
    public CompletionStage<Either<StoreError, List<ListedInstance>>> instances() {
        return read(PlatformPaths.INSTANCES, callTimeout, PlatformJson::readInstances)
                .thenApply(HttpPlatform::toReadResult);
    }

    /** Closes the idle connections of the HTTP client, and the others after their calls. */
    public void stop() {
        client.stop();
    }

    private <T> CompletionStage<Either<Integer, T>> read(String path, Duration timeout, Function<byte[], T> parser) {
        ResponseTimeouts timeouts = ResponseTimeouts.progressing(timeout, callTimeout);
        return new HttpCall<>(parser).send(client, scheduler, timeouts, "GET", path, List.of(), NO_BODY);
    }

    private CompletionStage<Either<StoreError, ObjectVersion>> put(ObjectKey key, Header condition, byte[] value) {
        return new HttpCall<>(PlatformJson::readVersion)
                .send(
                        client,
                        scheduler,
                        callTimeout,
                        "PUT",
                        PlatformPaths.object(key.kind(), key.name()),
                        List.of(JSON, condition),
                        PlatformJson.value(value))
                .thenApply(result -> result.fold(status -> toError(status, true), Either::right));
    }

    private static <T> Either<StoreError, T> toReadResult(Either<Integer, T> result) {
        return result.fold(status -> toError(status, false), Either::right);
    }

    private static <T> Either<StoreError, T> toError(int status, boolean isWrite) {
        return Either.left(
                switch (status) {
                    case 412 -> StoreError.CONFLICT;
                    case 410 -> StoreError.TOO_OLD;
                    case 413, HttpCall.TOO_LARGE -> StoreError.TOO_LARGE;
                    case HttpCall.NOT_SENT, HttpCall.NOT_FOUND, 400, 429, 503 -> StoreError.UNAVAILABLE;
                    default -> isWrite ? StoreError.UNKNOWN : StoreError.UNAVAILABLE;
                });
    }
}
