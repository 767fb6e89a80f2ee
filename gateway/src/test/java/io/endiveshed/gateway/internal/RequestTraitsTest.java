package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.PromptPartId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.coordination.crash.RequestTrait;
import io.endiveshed.coordination.crash.RequestTrait.Kind;
import io.endiveshed.coordination.service.ClientAccount;
import io.endiveshed.coordination.service.DomainDelays;
import io.endiveshed.coordination.service.RouteKind;
import io.endiveshed.coordination.service.RouteRule;
import io.endiveshed.coordination.service.ServiceRule;
import io.endiveshed.coordination.service.WeightedService;
import io.endiveshed.gateway.CallerRequest;
import io.endiveshed.net.http.HttpRequestData;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class RequestTraitsTest {
    private static final ServiceName SERVICE = new ServiceName("model");

    /** Guards against a repeat that is not recognized because each attempt of a caller has its own id. */
    @Test
    void repeatOfARequestHasTheSameKey() {
        assertThat(key("request-1", "ferry", "a.example", "/x/1", "body"))
                .isEqualTo(key("request-2", "ferry", "a.example", "/x/1", "body"));
    }

    /** Guards against sound requests that are taken for repeats of another one. */
    @Test
    void requestsThatDifferInAccountHostPathOrBodyHaveDifferentKeys() {
        RequestTrait key = key("request-1", "ferry", "a.example", "/x/1", "body");
        assertThat(key("request-1", "train", "a.example", "/x/1", "body")).isNotEqualTo(key);
        assertThat(key("request-1", "ferry", "b.example", "/x/1", "body")).isNotEqualTo(key);
        assertThat(key("request-1", "ferry", "a.example", "/x/2", "body")).isNotEqualTo(key);
        assertThat(key("request-1", "ferry", "a.example", "/x/1?page=2", "body"))
                .isNotEqualTo(key);
        assertThat(key("request-1", "ferry", "a.example", "/x/1", "other")).isNotEqualTo(key);
    }

    /** Guards against an account and a host that give the same digest when they are joined. */
    @Test
    void endOfOneFieldIsNotTheBeginningOfTheNext() {
        assertThat(key("request-1", "ferry", "ab.example", "/x/1", "body"))
                .isNotEqualTo(key("request-1", "ferrya", "b.example", "/x/1", "body"));
    }

    /** Guards against repeats with another query that have nothing in common. */
    @Test
    void requestsThatDifferInTheirQueryHaveTheSamePathTrait() {
        List<RequestTrait> first =
                traits("request-1", "ferry", "a.example", "/x/1?page=1", "body").all();
        List<RequestTrait> second =
                traits("request-2", "ferry", "a.example", "/x/1?page=2", "body").all();
        assertThat(first.get(0)).isNotEqualTo(second.get(0));
        assertThat(first.get(1)).isEqualTo(second.get(1));
        assertThat(first.stream().map(RequestTrait::kind).toList())
                .containsExactly(Kind.REQUEST, Kind.PATH, Kind.PROMPT_PART)
                .inOrder();
    }

    private static RequestTrait key(String id, String account, String host, String uri, String body) {
        return traits(id, account, host, uri, body).key();
    }

    /** Returns the traits of a request with one part of a prompt. */
    static RequestTraits traits(String id, String account, String host, String uri, String body) {
        RouteRule route = RouteRule.builder("stream")
                .host(host)
                .pathPrefix("/x/")
                .kind(RouteKind.STREAMING)
                .timeoutMillis(1_000)
                .latencyObjectiveMillis(500)
                .weightedServices(List.of(new WeightedService(SERVICE, 1)))
                .build();
        CallerRequest caller = new CallerRequest(
                id,
                host,
                Optional.empty(),
                OptionalLong.empty(),
                Optional.empty(),
                List.of(new PromptPartId("system")),
                OptionalLong.empty(),
                new HttpRequestData("POST", uri, new DefaultHttpHeaders(), body.getBytes(StandardCharsets.UTF_8)));
        return new RequestTraits(new AdmittedRequest(
                caller,
                route,
                new ServiceRule(SERVICE, "/health", 100, Optional.empty(), DomainDelays.NONE),
                Optional.of(new ClientAccount(new ClientAccountId(account), OptionalInt.empty())),
                0,
                1_000));
    }
}
