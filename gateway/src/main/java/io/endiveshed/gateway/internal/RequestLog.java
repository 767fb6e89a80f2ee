package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.PromptPartId;
import io.endiveshed.gateway.CallerRequest.PromptSize;
import java.time.Duration;
import java.util.stream.Collectors;

/** Writes the log lines and metrics of one request. */
final class RequestLog {
    private static final int SUCCESS_STATUS_CLASS = 2;
    private static final int STATUS_CLASS_SIZE = 100;

    private final GatewayContext context;
    private final AdmittedRequest request;
    private final RequestTraits traits;
    private final ResponseRelay relay;

    RequestLog(GatewayContext context, AdmittedRequest request, RequestTraits traits, ResponseRelay relay) {
        this.context = context;
        this.request = request;
        this.traits = traits;
        this.relay = relay;
    }

    /** Logs the target of an attempt when it is sent, as the process may end before the attempt does. */
    void attemptPlaced(Assignment assignment, int attempts) {
        context.log()
                .event("attempt.placed")
                .with("request", request.caller().id())
                .with("target", assignment.target().instance().id())
                .with("helper_addresses", helperAddresses(assignment))
                .with("attempt", attempts)
                .with("predicted_ms", (long) assignment.predictedMillis())
                .with("prompt_tokens", promptTokens())
                .with("targets_age_ms", context.targetsAgeMillis().getAsLong())
                .write();
    }

    /** Logs and counts a target that wants no requests for some time. */
    void targetPaused(TargetRuntime target, Duration pause) {
        context.metrics().count("targets_paused");
        context.log()
                .event("target.paused")
                .with("request", request.caller().id())
                .with("target", target.instance().id())
                .with("pause_ms", pause.toMillis())
                .write();
    }

    /** Logs and counts an attempt that failed or is slow; the event names which. */
    void attemptEvent(Assignment assignment, int attempts, String event, String reason) {
        context.metrics().count(event.replace('.', '_'));
        context.log()
                .event(event)
                .with("request", request.caller().id())
                .with("target", assignment.target().instance().id())
                .with("helpers", assignment.helpers().size())
                .with("helper_addresses", helperAddresses(assignment))
                .with("attempt", attempts)
                .with("reason", reason)
                .with("elapsed_ms", (long) request.elapsedMillis(System.nanoTime()))
                .with("predicted_ms", (long) assignment.predictedMillis())
                .with("prompt_parts", promptParts())
                .with("request_key", traits.key().value())
                .write();
    }

    /**
     * Logs and counts the end of the request.
     *
     * @param status status that the caller got, or that of the failure that aborted its response
     * @param reason why the request ended with this status
     * @param assignment assignment of the last attempt; null if there was none
     * @param attempts number of attempts
     * @param connectionRequests number of requests that have used the connection of the response; 0 if there is none
     * @param firstMillis time until the first event of a stream in milliseconds; negative if there was none
     */
    void requestDone(
            int status,
            String reason,
            Assignment assignment,
            int attempts,
            int connectionRequests,
            double firstMillis) {
        double totalMillis = request.elapsedMillis(System.nanoTime());
        context.metrics()
                .recordResponse(request.account(), request.service().name().value(), status, firstMillis, totalMillis);
        context.log()
                .event("request.done")
                .with("request", request.caller().id())
                .with("route", request.route().name())
                .with(
                        "account",
                        request.account().map(account -> account.id().value()).orElse("none"))
                .with("status", status)
                .with("reason", reason)
                .with("attempts", attempts)
                .with(
                        "target",
                        assignment == null
                                ? "none"
                                : assignment.target().instance().id())
                .with("connection_requests", connectionRequests)
                .with("helpers", assignment == null ? 0 : assignment.helpers().size())
                .with("helper_addresses", assignment == null ? "none" : helperAddresses(assignment))
                .with("predicted_ms", assignment == null ? 0 : (long) assignment.predictedMillis())
                .with("first_ms", (long) firstMillis)
                .with("prompt_tokens", promptTokens())
                .with("prompt_parts", promptParts())
                .with("request_key", isSuccess(status) ? "none" : traits.key().value())
                .with("max_pause_ms", relay.maxPauseMillis())
                .with("total_ms", (long) totalMillis)
                .with("state_version", context.catalog().read().version())
                .with("state_age_ms", context.catalogAgeMillis().getAsLong())
                .write();
    }

    private static boolean isSuccess(int status) {
        return status / STATUS_CLASS_SIZE == SUCCESS_STATUS_CLASS;
    }

    private static String helperAddresses(Assignment assignment) {
        return assignment.helpers().isEmpty()
                ? "none"
                : assignment.helpers().stream()
                        .map(helper -> helper.endpoint().toString())
                        .collect(Collectors.joining(","));
    }

    private String promptParts() {
        return request.caller().sharedParts().stream().map(PromptPartId::value).collect(Collectors.joining(","));
    }

    private long promptTokens() {
        return request.caller().promptSize().map(PromptSize::promptTokens).orElse(0L);
    }
}
