package io.endiveshed.gateway.internal;

import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.gateway.RequestDialect;
import io.endiveshed.net.http.DiscardedResponse;
import java.util.Locale;

/** Logs and counts the responses of targets that belong to no request, such as late copies of earlier ones. */
final class DiscardedResponses {
    /** Logged in place of a request if there is none. */
    private static final String NO_REQUEST = "none";

    private final RequestDialect dialect;
    private final GatewayMetrics metrics;
    private final EventLog log;

    DiscardedResponses(RequestDialect dialect, GatewayMetrics metrics, EventLog log) {
        this.dialect = dialect;
        this.metrics = metrics;
        this.log = log;
    }

    /** Records a response that was discarded. */
    void record(TargetInstance target, DiscardedResponse response) {
        String reason = response.reason().name().toLowerCase(Locale.ROOT);
        metrics.count("responses_discarded;reason=" + reason);
        log.event("response.discarded")
                .with("request", response.request().isEmpty() ? NO_REQUEST : response.request())
                .with("target", target.id())
                .with("reason", reason)
                .with("status", response.status())
                .with("named_request", dialect.namedRequest(response.headers()).orElse(NO_REQUEST))
                .with("connection_requests", response.connectionRequests())
                .write();
    }
}
