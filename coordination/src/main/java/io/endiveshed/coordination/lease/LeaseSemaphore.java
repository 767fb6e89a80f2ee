package io.endiveshed.coordination.lease;

import io.endiveshed.base.id.FencingToken;
import io.endiveshed.ports.platform.ObjectKey;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.ports.platform.StoredObject;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.agrona.concurrent.NanoClock;

/**
 * Distributed semaphore with a fixed number of permits, each of them a lease. Limits for example how many processes
 * load from the rate-limited weight store at the same time. A contender reads all permits with one call and writes only
 * to a free one.
 */
public final class LeaseSemaphore {
    /** Kind of the lease objects in the store. */
    public static final String KIND = "lease";

    private final ObjectStore store;
    private final String prefix;
    private final Map<ObjectKey, Lease> permits;
    private final RandomGenerator random;
    private Optional<Lease> heldPermit = Optional.empty();

    /**
     * Creates a semaphore whose lease objects are named by a prefix and a number.
     *
     * @param count number of permits, equal in every process
     */
    public LeaseSemaphore(
            ObjectStore store,
            String prefix,
            int count,
            LeaseHolder self,
            LeaseTimes times,
            NanoClock clock,
            RandomGenerator random) {
        this.store = store;
        this.prefix = prefix + "/";
        this.random = random;
        this.permits = IntStream.range(0, count)
                .mapToObj(number -> new ObjectKey(KIND, this.prefix + number))
                .collect(Collectors.toMap(
                        Function.identity(), key -> new Lease(store, key, self, times, clock, random)));
    }

    /** Returns the fencing token of the permit while this process holds one. */
    public synchronized Optional<FencingToken> token() {
        return heldPermit.flatMap(Lease::token);
    }

    /**
     * Renews the permit that this process holds, or acquires a free one at random, so that contenders rarely choose the
     * same one. Completes with {@link LeaseError#HELD_BY_OTHER} if no permit is free.
     */
    public CompletionStage<Either<LeaseError, FencingToken>> acquireOrRenew() {
        Optional<Lease> current = heldPermit();
        if (current.flatMap(Lease::token).isPresent()) {
            return current.get().acquireOrRenew();
        }
        return store.list(KIND, prefix).thenCompose(result -> {
            if (result.isLeft()) {
                return CompletableFuture.completedFuture(Either.left(LeaseError.STORE_UNAVAILABLE));
            }
            List<Lease> free = findFree(result.get());
            return free.isEmpty()
                    ? CompletableFuture.completedFuture(Either.left(LeaseError.HELD_BY_OTHER))
                    : acquire(free.get(random.nextInt(free.size())));
        });
    }

    /** Releases the permit that this process holds. */
    public CompletionStage<Either<LeaseError, FencingToken>> release() {
        Optional<Lease> current = heldPermit();
        setHeldPermit(Optional.empty());
        return current.map(Lease::release)
                .orElseGet(() -> CompletableFuture.completedFuture(Either.left(LeaseError.HELD_BY_OTHER)));
    }

    private CompletionStage<Either<LeaseError, FencingToken>> acquire(Lease permit) {
        return permit.acquireOrRenew().thenApply(result -> result.peek(token -> setHeldPermit(Optional.of(permit))));
    }

    private List<Lease> findFree(List<StoredObject> objects) {
        Map<ObjectKey, StoredObject> byKey =
                objects.stream().collect(Collectors.toMap(StoredObject::key, Function.identity()));
        List<Lease> free = new ArrayList<>();
        permits.forEach((key, permit) -> {
            if (permit.recordAndCheckFree(Optional.ofNullable(byKey.get(key)))) {
                free.add(permit);
            }
        });
        return free;
    }

    private synchronized Optional<Lease> heldPermit() {
        return heldPermit;
    }

    private synchronized void setHeldPermit(Optional<Lease> permit) {
        heldPermit = permit;
    }
}
