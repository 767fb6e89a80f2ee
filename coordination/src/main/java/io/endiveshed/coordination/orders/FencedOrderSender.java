package io.endiveshed.coordination.orders;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.base.id.FencingToken;
import io.endiveshed.coordination.lease.LeaseRecord;
import io.endiveshed.ports.engine.EngineOrder;
import io.endiveshed.ports.engine.EnginePort;
import io.endiveshed.ports.platform.ObjectKey;
import io.endiveshed.ports.platform.ObjectStore;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Lets orders through to an engine unless a newer holder of the lease has given an order for the same resource.
 *
 * <p>For engines that ignore tokens, orders for a resource are sent one after the other, because two that are under way
 * together could take effect in either order; and a restarted gate reads the lease first, because it does not know
 * which orders its predecessor let through. A holder's token is in the lease object before it gives any order, so the
 * token read is never lower than that of an earlier order.
 *
 * <p>Safe for use by several threads.
 */
public final class FencedOrderSender {
    private final EnginePort engine;
    private final ObjectStore store;
    private final TokenCheck check;
    private final Map<ObjectKey, Resource> resources = new HashMap<>();

    /** Who compares the tokens of orders; the configuration says which for each engine. */
    public enum TokenCheck {
        /** The engine rejects lower tokens itself. */
        BY_ENGINE,
        /** The engine ignores tokens. */
        BY_SIDECAR
    }

    /** Makes a gate that knows no tokens yet. */
    public FencedOrderSender(EnginePort engine, ObjectStore store, TokenCheck check) {
        this.engine = engine;
        this.store = store;
        this.check = check;
    }

    /**
     * Gives an order to the engine. Fails with {@link ErrorKind#STALE_TOKEN} if a newer holder is known, and with
     * {@link ErrorKind#STORE_UNAVAILABLE} while it cannot be known.
     *
     * @param lease lease under which the order is given
     */
    public CompletionStage<Either<Failure, Boolean>> order(ObjectKey lease, EngineOrder order) {
        if (check == TokenCheck.BY_ENGINE) {
            return engine.order(order);
        }
        Resource resource;
        synchronized (resources) {
            resource = resources.computeIfAbsent(lease, key -> new Resource());
        }
        return resource.append(() -> learn(lease, resource)
                .thenCompose(known -> known.isLeft()
                        ? CompletableFuture.completedFuture(Either.left(known.getLeft()))
                        : send(resource, order)));
    }

    private CompletionStage<Either<Failure, Boolean>> send(Resource resource, EngineOrder order) {
        if (order.token().compareTo(resource.newest) < 0) {
            return CompletableFuture.completedFuture(Either.left(stale(order.token(), resource.newest)));
        }
        resource.newest = order.token();
        return engine.order(order);
    }

    /** Reads the lease object once for each resource. */
    private CompletionStage<Either<Failure, Boolean>> learn(ObjectKey lease, Resource resource) {
        if (resource.newest != null) {
            return CompletableFuture.completedFuture(Either.right(true));
        }
        return store.get(lease).thenApply(result -> {
            if (result.isLeft()) {
                return Either.left(unknown("the lease " + lease + " cannot be read: " + result.getLeft()));
            }
            if (result.get().isEmpty()) {
                resource.newest = FencingToken.NONE;
                return Either.right(true);
            }
            return LeaseRecord.decode(result.get().get().value())
                    .peek(record -> resource.newest = record.token())
                    .<Either<Failure, Boolean>>fold(
                            error -> Either.left(unknown("the object " + lease + " is not a lease")),
                            record -> Either.right(true));
        });
    }

    private static Failure stale(FencingToken token, FencingToken newest) {
        return Failure.of(ErrorKind.STALE_TOKEN)
                .message("the order has token " + token.value() + ", but a holder with token " + newest.value()
                        + " is known")
                .build();
    }

    private static Failure unknown(String message) {
        return Failure.of(ErrorKind.STORE_UNAVAILABLE)
                .message(message)
                .outcome(Outcome.NOT_RUN)
                .build();
    }

    @FunctionalInterface
    private interface Step {
        CompletionStage<Either<Failure, Boolean>> run();
    }

    /** State of one resource; its steps run one after the other, so that only one of them touches the token. */
    private static final class Resource {
        private CompletionStage<Either<Failure, Boolean>> last = CompletableFuture.completedFuture(Either.right(true));
        private volatile FencingToken newest;

        synchronized CompletionStage<Either<Failure, Boolean>> append(Step step) {
            last = last.thenCompose(previous -> step.run());
            return last;
        }
    }
}
