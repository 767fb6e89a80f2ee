package io.endiveshed.coordination.lease;

import io.endiveshed.base.id.FencingToken;
import io.endiveshed.ports.platform.ObjectKey;
import io.endiveshed.ports.platform.ObjectStore;
import io.endiveshed.ports.platform.ObjectVersion;
import io.endiveshed.ports.platform.StoreError;
import io.endiveshed.ports.platform.StoredObject;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.NanoClock;

/**
 * One process's view of one lease: acquires, renews and releases it.
 *
 * <p>The owner calls {@link #acquireOrRenew} at an interval of its choice, at most {@link LeaseTimes#renewAfter}, one call at a
 * time, and asks {@link #token} immediately before each action. Safe for use by several threads.
 *
 * <pre>{@code
 * lease.acquireOrRenew();
 * lease.token().ifPresent(token -> engine.order(new EngineOrder(LOAD_MODEL, model, token)));
 * }</pre>
 */
public final class Lease {
    private final ObjectStore store;
    private final ObjectKey key;
    private final LeaseHolder self;
    private final LeaseTimes times;
    private final NanoClock clock;
    private final RandomGenerator random;
    private Optional<Seen> seen = Optional.empty();
    private Optional<FencingToken> held = Optional.empty();
    private long validUntilNanos;

    /** Makes a lease that is not held yet. */
    public Lease(
            ObjectStore store,
            ObjectKey key,
            LeaseHolder self,
            LeaseTimes times,
            NanoClock clock,
            RandomGenerator random) {
        this.store = store;
        this.key = key;
        this.self = self;
        this.times = times;
        this.clock = clock;
        this.random = random;
    }

    /** Returns the token while the lease is valid on this process's clock; after a pause it finds out here. */
    public synchronized Optional<FencingToken> token() {
        return clock.nanoTime() - validUntilNanos < 0 ? held : Optional.empty();
    }

    /** Renews the lease if this process holds it, takes it if it is free, and otherwise watches its holder. */
    public CompletionStage<Either<LeaseError, FencingToken>> acquireOrRenew() {
        Optional<Seen> own = ownWrite();
        if (own.isPresent()) {
            return write(own.get().version, record(own.get().record.token(), false))
                    .thenCompose(this::readAgainAfterConflict);
        }
        return read().thenCompose(this::takeIfFree);
    }

    /** Gives the lease up, so that the next holder need not wait. */
    public CompletionStage<Either<LeaseError, FencingToken>> release() {
        Optional<Seen> own = ownWrite();
        synchronized (this) {
            held = Optional.empty();
        }
        if (own.isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(LeaseError.HELD_BY_OTHER));
        }
        return write(own.get().version, record(own.get().record.token(), true));
    }

    /** Records what was read elsewhere, such as in a list of slots, and tells whether the lease is free. */
    public synchronized boolean observe(Optional<StoredObject> object) {
        return object.isEmpty()
                || LeaseRecord.decode(object.get().value())
                        .map(record -> isFree(see(object.get().version(), record)))
                        .getOrElse(false);
    }

    private CompletionStage<Either<LeaseError, FencingToken>> takeIfFree(
            Either<LeaseError, Optional<StoredObject>> read) {
        if (read.isLeft()) {
            return failed(read.getLeft());
        }
        if (read.get().isEmpty()) {
            return write(null, record(FencingToken.NONE.next(), false));
        }
        StoredObject object = read.get().get();
        Either<LeaseError, LeaseRecord> decoded = LeaseRecord.decode(object.value());
        if (decoded.isLeft()) {
            return failed(decoded.getLeft());
        }
        if (!observe(read.get())) {
            return failed(LeaseError.HELD_BY_OTHER);
        }
        LeaseRecord record = decoded.get();
        // A holder that released the lease gets a new token: its orders from before the release may still be under way.
        boolean continued = record.holder().equals(self) && !record.released();
        return write(
                object.version(),
                record(continued ? record.token() : record.token().next(), false));
    }

    private CompletionStage<Either<LeaseError, FencingToken>> readAgainAfterConflict(
            Either<LeaseError, FencingToken> written) {
        if (written.isRight() || written.getLeft() != LeaseError.HELD_BY_OTHER) {
            return CompletableFuture.completedFuture(written);
        }
        synchronized (this) {
            held = Optional.empty();
        }
        return read().thenCompose(this::takeIfFree);
    }

    /** Writes a record; validity starts before the request is sent. A missing version means that there is no object. */
    private CompletionStage<Either<LeaseError, FencingToken>> write(ObjectVersion expected, LeaseRecord record) {
        long sentNanos = clock.nanoTime();
        CompletionStage<Either<StoreError, ObjectVersion>> reply =
                expected == null ? store.create(key, record.encode()) : store.update(key, expected, record.encode());
        return reply.thenCompose(result -> {
            if (result.isRight()) {
                return CompletableFuture.completedFuture(Either.right(wrote(result.get(), record, sentNanos)));
            }
            if (result.getLeft() == StoreError.UNKNOWN) {
                return read().thenApply(back -> resolve(back, record, sentNanos));
            }
            return failed(error(result.getLeft()));
        });
    }

    /** Decides by the nonce whether a write whose reply was lost took effect. */
    private Either<LeaseError, FencingToken> resolve(
            Either<LeaseError, Optional<StoredObject>> back, LeaseRecord record, long sentNanos) {
        if (back.isLeft()) {
            forgetVersion();
            return Either.left(back.getLeft());
        }
        Optional<StoredObject> object = back.get();
        boolean tookEffect = object.isPresent()
                && LeaseRecord.decode(object.get().value()).map(record::equals).getOrElse(false);
        if (tookEffect) {
            return Either.right(wrote(object.get().version(), record, sentNanos));
        }
        observe(object);
        return Either.left(LeaseError.STORE_UNAVAILABLE);
    }

    private synchronized FencingToken wrote(ObjectVersion version, LeaseRecord record, long sentNanos) {
        see(version, record);
        held = record.released() ? Optional.empty() : Optional.of(record.token());
        validUntilNanos = sentNanos + times.duration().minus(times.margin()).toNanos();
        return record.token();
    }

    private CompletionStage<Either<LeaseError, Optional<StoredObject>>> read() {
        return store.get(key).thenApply(result -> result.mapLeft(Lease::error));
    }

    /** Returns the last known write if this process made it and has not released the lease. */
    private synchronized Optional<Seen> ownWrite() {
        return held.isEmpty()
                ? Optional.empty()
                : seen.filter(last -> last.record.holder().equals(self) && !last.record.released());
    }

    private synchronized void forgetVersion() {
        seen = Optional.empty();
    }

    /** Notes a version; the waiting time of a contender starts when it first sees the version. */
    private synchronized Seen see(ObjectVersion version, LeaseRecord record) {
        if (seen.isEmpty() || !seen.get().version.equals(version)) {
            seen = Optional.of(new Seen(version, record, clock.nanoTime()));
        }
        return seen.get();
    }

    private boolean isFree(Seen last) {
        if (last.record.released() || last.record.holder().equals(self)) {
            return true;
        }
        Duration wait = Duration.ofMillis(last.record.durationMillis());
        return clock.nanoTime() - last.firstSeenNanos >= wait.toNanos();
    }

    private LeaseRecord record(FencingToken token, boolean released) {
        return new LeaseRecord(self, token, times.duration().toMillis(), released, random.nextLong());
    }

    private static LeaseError error(StoreError error) {
        return error == StoreError.CONFLICT ? LeaseError.HELD_BY_OTHER : LeaseError.STORE_UNAVAILABLE;
    }

    private static <T> CompletionStage<Either<LeaseError, T>> failed(LeaseError error) {
        return CompletableFuture.completedFuture(Either.left(error));
    }

    private record Seen(ObjectVersion version, LeaseRecord record, long firstSeenNanos) {}
}
