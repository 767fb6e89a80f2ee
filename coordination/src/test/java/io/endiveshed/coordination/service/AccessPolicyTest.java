package io.endiveshed.coordination.service;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.coordination.service.AccessPolicy.AccessGrant;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

final class AccessPolicyTest {
    private static final String HOST = "a.example";
    private static final ClientAccount FERRY = new ClientAccount(new ClientAccountId("ferry"), OptionalInt.empty());

    private final AccessPolicy policy = new AccessPolicy(Duration.ofMillis(4_500), Duration.ofMillis(2_500));
    private final ServiceCatalog catalog = new ServiceCatalog(
            7,
            List.of(route("chat", "/chat/", false), route("long", "/chat/long/", false), route("open", "/open/", true)),
            List.of(),
            Map.of("key", FERRY),
            true);

    /** Guards against a revoked key that is still accepted by an instance that cannot reach the store. */
    @Test
    void keysAreNotAcceptedOnStaleState() {
        assertThat(decide(4_500, "/chat/x", "key").isRight()).isTrue();
        assertThat(kind(decide(4_501, "/chat/x", "key"))).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        assertThat(kind(decide(Long.MAX_VALUE, "/chat/x", "key"))).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
    }

    /** Guards against callers that wait for this entry although another one can serve them at once. */
    @Test
    void callersReturnAtOnceIfOtherEntriesCanServe() {
        AccessPolicy isolated = new AccessPolicy(Duration.ofMillis(4_500), Duration.ofMillis(2_500), () -> true);
        Duration alone = isolated.staleKeyFailure(5_000).retryAfter().orElseThrow();
        Duration together = policy.staleKeyFailure(5_000).retryAfter().orElseThrow();
        assertThat(alone).isLessThan(Duration.ofMillis(50));
        assertThat(together).isAtLeast(Duration.ofMillis(200));
    }

    /** Guards against requests without a key that fail because the store is unavailable. */
    @Test
    void publicRoutesAreServedOnStaleState() {
        AccessGrant access = decide(Long.MAX_VALUE, "/open/x", null).get();
        assertThat(access.route().name()).isEqualTo("open");
        assertThat(access.account()).isEqualTo(Optional.empty());
    }

    /** Guards against a final rejection of a route or key that was added while the store could not be reached. */
    @Test
    void unknownRoutesAndKeysAreRejectedOnlyOnFreshState() {
        assertThat(kind(decide(2_500, "/other/x", "key"))).isEqualTo(ErrorKind.NOT_FOUND);
        assertThat(kind(decide(2_501, "/other/x", "key"))).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        assertThat(kind(decide(2_500, "/chat/x", "other"))).isEqualTo(ErrorKind.UNAUTHENTICATED);
        assertThat(kind(decide(2_501, "/chat/x", "other"))).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        assertThat(kind(decide(0, "/chat/x", null))).isEqualTo(ErrorKind.UNAUTHENTICATED);
    }

    /** Guards against final rejections by a process that has just started. */
    @Test
    void withoutDesiredStateCallersAreToldToRetry() {
        Failure failure = policy.decide(ServiceCatalog.NONE, 0, HOST, "/chat/x", Optional.of("key"))
                .getLeft();
        assertThat(failure.kind()).isEqualTo(ErrorKind.STORE_UNAVAILABLE);
        assertThat(failure.retryAfter().isPresent()).isTrue();
    }

    /** Guards against a route that gets the requests of a route with a longer prefix, or of another host. */
    @Test
    void longestPrefixOfTheHostIsSelected() {
        assertThat(decide(0, "/chat/long/x", "key").get().route().name()).isEqualTo("long");
        assertThat(decide(0, "/chat/longer", "key").get().route().name()).isEqualTo("chat");
        assertThat(catalog.route("A.EXAMPLE", "/chat/x").isPresent()).isTrue();
        assertThat(catalog.route("b.example", "/chat/x").isPresent()).isFalse();
    }

    /** Guards against a split of requests that differs from the weights. */
    @Test
    void requestsAreSplitByWeight() {
        RouteRule route = RouteRule.builder("split")
                .host(HOST)
                .pathPrefix("/")
                .kind(RouteKind.IDEMPOTENT)
                .weightedServices(List.of(
                        new WeightedService(new ServiceName("a"), 90), new WeightedService(new ServiceName("b"), 10)))
                .build();
        assertThat(route.selectService(0.0).value()).isEqualTo("a");
        assertThat(route.selectService(0.899).value()).isEqualTo("a");
        assertThat(route.selectService(0.901).value()).isEqualTo("b");
    }

    private Either<Failure, AccessGrant> decide(long age, String path, String key) {
        return policy.decide(catalog, age, HOST, path, Optional.ofNullable(key));
    }

    private static ErrorKind kind(Either<Failure, AccessGrant> decision) {
        return decision.getLeft().kind();
    }

    private static RouteRule route(String name, String prefix, boolean open) {
        return RouteRule.builder(name)
                .host(HOST)
                .pathPrefix(prefix)
                .kind(RouteKind.IDEMPOTENT)
                .weightedServices(List.of(new WeightedService(new ServiceName("s"), 1)))
                .publicAccess(open)
                .build();
    }
}
