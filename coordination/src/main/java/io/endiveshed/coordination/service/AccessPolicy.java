package io.endiveshed.coordination.service;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Decides whether a request may be forwarded. If the local copy of the desired state is missing or too old for the
 * decision, the request is refused with a retry time.
 *
 * <pre>{@code
 * AccessPolicy policy = new AccessPolicy(Duration.ofMillis(4500), Duration.ofMillis(2500));
 * Either<Failure, AccessGrant> access = policy.decide(catalog, ageMillis, "a.example", "/chat/x", Optional.of(key));
 * }</pre>
 */
public final class AccessPolicy {
    /**
     * Retry delay that a caller is given while the desired state cannot be confirmed. The store is queried more often
     * than this.
     */
    private static final Duration STALE_STATE_RETRY_DELAY = Duration.ofMillis(500);

    /** Retry delay that a caller is given if other entries can confirm the desired state, so that a retry is served. */
    private static final Duration OTHER_ENTRY_RETRY_DELAY = Duration.ofMillis(20);

    private final long maxKeyAgeMillis;
    private final long maxRejectAgeMillis;
    private final BooleanSupplier canOthersServe;

    /**
     * Creates a policy.
     *
     * @param maxKeyAge age of the desired state beyond which no key is accepted, because it may have been revoked
     * @param maxRejectAge age of the desired state beyond which an unknown route or key is not rejected, because it may
     *     have been added
     */
    public AccessPolicy(Duration maxKeyAge, Duration maxRejectAge) {
        this(maxKeyAge, maxRejectAge, () -> false);
    }

    /**
     * Creates a policy of an entry that knows whether others can serve what it must refuse.
     *
     * @param canOthersServe whether the desired state of most other entries is confirmed while that of this one is not
     */
    public AccessPolicy(Duration maxKeyAge, Duration maxRejectAge, BooleanSupplier canOthersServe) {
        this.canOthersServe = canOthersServe;
        this.maxKeyAgeMillis = maxKeyAge.toMillis();
        this.maxRejectAgeMillis = maxRejectAge.toMillis();
    }

    /**
     * Decides on a request.
     *
     * @param catalog the desired state as last received
     * @param ageMillis time in milliseconds since the desired state was last confirmed
     * @param host host that the request names
     * @param path path of the request
     * @param key key of the request, if it has one
     * @return on the right the route and account of the request; on the left the failure to send to the caller
     */
    public Either<Failure, AccessGrant> decide(
            ServiceCatalog catalog, long ageMillis, String host, String path, Optional<String> key) {
        if (!catalog.isKnown()) {
            return staleState("this entry has no desired state yet");
        }
        Optional<RouteRule> route = catalog.route(host, path);
        if (route.isEmpty()) {
            return reject(ageMillis, ErrorKind.NOT_FOUND, "no route for " + host + path);
        }
        if (!catalog.keysRequired() || route.get().isPublic()) {
            return Either.right(new AccessGrant(route.get(), Optional.empty()));
        }
        Optional<ClientAccount> account = key.flatMap(catalog::account);
        if (account.isEmpty()) {
            return reject(ageMillis, ErrorKind.UNAUTHENTICATED, "the key is missing or unknown");
        }
        if (isTooOldForKeys(ageMillis)) {
            return Either.left(staleKeyFailure(ageMillis));
        }
        return Either.right(new AccessGrant(route.get(), account));
    }

    /** Returns whether a desired state of the given age is too old to accept keys, because they may have been revoked. */
    public boolean isTooOldForKeys(long ageMillis) {
        return ageMillis > maxKeyAgeMillis;
    }

    /** Returns the failure to send if the desired state, of the given age, is too old to check a key. */
    public Failure staleKeyFailure(long ageMillis) {
        return staleStateFailure("the desired state was last confirmed " + ageMillis + " ms ago");
    }

    private Either<Failure, AccessGrant> reject(long ageMillis, ErrorKind kind, String message) {
        return ageMillis > maxRejectAgeMillis
                ? staleState(message + ", but the desired state was last confirmed " + ageMillis + " ms ago")
                : Either.left(Failure.of(kind).message(message).build());
    }

    private Either<Failure, AccessGrant> staleState(String message) {
        return Either.left(staleStateFailure(message));
    }

    private Failure staleStateFailure(String message) {
        return Failure.of(ErrorKind.STORE_UNAVAILABLE)
                .message(message)
                .retryAfter(canOthersServe.getAsBoolean() ? OTHER_ENTRY_RETRY_DELAY : STALE_STATE_RETRY_DELAY)
                .build();
    }

    /**
     * The route and client account of a request that may be forwarded.
     *
     * @param route route of the request
     * @param account client account of its key; empty if the request needs no key
     */
    public record AccessGrant(RouteRule route, Optional<ClientAccount> account) {}
}
