package io.endiveshed.coordination.config;

import io.endiveshed.base.id.Revision;
import io.endiveshed.base.time.Scheduler;
import io.endiveshed.coordination.config.PublishError.Kind;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.ports.platform.ObjectVersion;
import io.endiveshed.ports.platform.StoreError;
import io.endiveshed.ports.platform.StoredObject;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Makes a configuration current: writes its pieces, then the head by one conditional update.
 *
 * <pre>{@code
 * new ConfigurationPublisher(store, scheduler, random)
 *         .publish(ConfigurationContent.of(configuration), Optional.empty())
 *         .thenAccept(result -> ...);
 * }</pre>
 */
public final class ConfigurationPublisher {
    /** Tries of each call; with the back-off between them they take about 6 s. */
    private static final int MAX_TRIES = 6;

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(200);
    private static final int NONCE_BYTES = 16;

    private final ObjectStore store;
    private final Scheduler scheduler;
    private final RandomGenerator random;

    /** Makes a publisher. */
    public ConfigurationPublisher(ObjectStore store, Scheduler scheduler, RandomGenerator random) {
        this.store = store;
        this.scheduler = scheduler;
        this.random = random;
    }

    /**
     * Publishes a content and completes with its revision. A content that is already current is not published again.
     *
     * @param base revision on which the change is based, or empty for the one that is current now
     */
    public CompletionStage<Either<PublishError, Revision>> publish(
            ConfigurationContent content, Optional<Revision> base) {
        return read(1).thenCompose(found ->
                found.isLeft() ? failed(Kind.STORE_UNAVAILABLE, Revision.NONE) : publish(content, base, found.get()));
    }

    private CompletionStage<Either<PublishError, Revision>> publish(
            ConfigurationContent content, Optional<Revision> base, Optional<StoredObject> found) {
        Optional<ConfigurationHead> current = found.map(object -> ConfigurationHead.decode(object.value()));
        Revision revision = current.map(ConfigurationHead::revision).orElse(Revision.NONE);
        if (base.isPresent() && !base.get().equals(revision)) {
            return failed(Kind.OTHER_BASE, revision);
        }
        Map<String, byte[]> pieces = content.pieces();
        List<String> names = List.copyOf(pieces.keySet());
        if (current.isPresent() && current.get().pieces().equals(names)) {
            return CompletableFuture.completedFuture(Either.right(revision));
        }
        Deque<Map.Entry<String, byte[]>> missing = new ArrayDeque<>(pieces.entrySet());
        current.ifPresent(head -> missing.removeIf(piece -> head.pieces().contains(piece.getKey())));
        String nonce = nonce();
        ConfigurationHead head = current.map(old -> old.next(names, nonce))
                .orElseGet(() -> new ConfigurationHead(Revision.NONE.next(), names, nonce, List.of()));
        return writePieces(missing, 1)
                .thenCompose(error -> error.isPresent()
                        ? failed(error.get(), revision)
                        : writeHead(head, found.map(StoredObject::version), 1));
    }

    /** Writes the pieces one after the other. A conflict means that the piece exists, with the same content. */
    private CompletionStage<Optional<Kind>> writePieces(Deque<Map.Entry<String, byte[]>> missing, int attempt) {
        if (missing.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Map.Entry<String, byte[]> piece = missing.peek();
        return store.create(ConfigurationHead.pieceKey(piece.getKey()), piece.getValue())
                .thenCompose(result -> {
                    if (result.isRight() || result.getLeft() == StoreError.CONFLICT) {
                        missing.remove();
                        return writePieces(missing, 1);
                    }
                    if (result.getLeft() == StoreError.TOO_LARGE) {
                        return CompletableFuture.completedFuture(Optional.of(Kind.TOO_LARGE));
                    }
                    return attempt < MAX_TRIES
                            ? later(attempt, () -> writePieces(missing, attempt + 1))
                            : CompletableFuture.completedFuture(Optional.of(Kind.STORE_UNAVAILABLE));
                });
    }

    private CompletionStage<Either<PublishError, Revision>> writeHead(
            ConfigurationHead head, Optional<ObjectVersion> expected, int attempt) {
        CompletionStage<Either<StoreError, ObjectVersion>> written = expected.isPresent()
                ? store.update(ConfigurationHead.KEY, expected.get(), head.encode())
                : store.create(ConfigurationHead.KEY, head.encode());
        return written.thenCompose(result -> {
            if (result.isRight()) {
                return CompletableFuture.completedFuture(Either.right(head.revision()));
            }
            return switch (result.getLeft()) {
                case CONFLICT, UNKNOWN -> readBack(head, expected, attempt);
                case TOO_LARGE -> failed(Kind.TOO_LARGE, Revision.NONE);
                default ->
                    attempt < MAX_TRIES
                            ? later(attempt, () -> writeHead(head, expected, attempt + 1))
                            : readBack(head, expected, attempt);
            };
        });
    }

    /** Finds out which write won. An earlier try of ours may have taken effect, even after its reply was lost. */
    private CompletionStage<Either<PublishError, Revision>> readBack(
            ConfigurationHead head, Optional<ObjectVersion> expected, int attempt) {
        return read(1).thenCompose(result -> {
            if (result.isLeft()) {
                return failed(Kind.UNCERTAIN, Revision.NONE);
            }
            Optional<ConfigurationHead> current = result.get().map(object -> ConfigurationHead.decode(object.value()));
            if (current.isPresent() && current.get().includes(head.nonce())) {
                return CompletableFuture.completedFuture(Either.right(head.revision()));
            }
            if (!result.get().map(StoredObject::version).equals(expected)) {
                return failed(
                        Kind.LOST_RACE, current.map(ConfigurationHead::revision).orElse(Revision.NONE));
            }
            return attempt < MAX_TRIES
                    ? later(attempt, () -> writeHead(head, expected, attempt + 1))
                    : failed(Kind.UNCERTAIN, Revision.NONE);
        });
    }

    private CompletionStage<Either<StoreError, Optional<StoredObject>>> read(int attempt) {
        return store.get(ConfigurationHead.KEY)
                .thenCompose(result -> result.isLeft() && attempt < MAX_TRIES
                        ? later(attempt, () -> read(attempt + 1))
                        : CompletableFuture.completedFuture(result));
    }

    private <T> CompletionStage<T> later(int attempt, Supplier<CompletionStage<T>> action) {
        CompletableFuture<Void> timer = new CompletableFuture<>();
        long nanos = FIRST_BACKOFF.toNanos() << (attempt - 1);
        scheduler.schedule(Duration.ofNanos(nanos / 2 + random.nextLong(nanos / 2)), () -> timer.complete(null));
        return timer.thenCompose(ignored -> action.get());
    }

    private String nonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private static CompletionStage<Either<PublishError, Revision>> failed(Kind kind, Revision current) {
        return CompletableFuture.completedFuture(Either.left(new PublishError(kind, current)));
    }
}
