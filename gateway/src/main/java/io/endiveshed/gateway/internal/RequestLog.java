package io.endiveshed.gateway.internal;

import io.endiveshed.gateway.CallerRequest.PromptSize;
import java.util.stream.Collectors;

/** The log lines and metrics of one request. */
final class RequestLog {
    private final GatewayContext context;
    private final RequestState state;
    private final RelayedAnswer relay;

    RequestLog(GatewayContext context, RequestState state, RelayedAnswer relay) {
        this.context = context;
        this.state = state;
        this.relay = relay;
    }

    /** Notes where an attempt is sent, as the process may end before the attempt does. */
    void placed(Assignment assignment, int attempts) {
        context.log()
                .event("attempt.placed")
                .with("request", state.caller().id())
                .with("target", assignment.target().instance().id())
                .with("helper_addresses", addresses(assignment))
                .with("attempt", attempts)
                .with("predicted_ms", (long) assignment.predictedMillis())
                .with("prompt_tokens", promptTokens())
                .write();
    }

    /** Notes what became of an attempt that did not succeed. */
    void attempt(Assignment assignment, int attempts, String event, String reason) {
        context.metrics().count(event.replace('.', '_'));
        context.log()
                .event(event)
                .with("request", state.caller().id())
                .with("target", assignment.target().instance().id())
                .with("helpers", assignment.helpers().size())
                .with("helper_addresses", addresses(assignment))
                .with("attempt", attempts)
                .with("reason", reason)
                .with("elapsed_ms", (long) state.elapsedMillis(System.nanoTime()))
                .with("predicted_ms", (long) assignment.predictedMillis())
                .write();
    }

    /**
     * Notes the end of the request.
     *
     * @param status status that the caller got, or that of the failure that cut its answer
     * @param reason why it ended so
     * @param assignment the last attempt's; null if there was none
     * @param attempts number of attempts
     * @param firstMillis time until the first event of a stream in milliseconds; below 0 if there was none
     */
    void done(int status, String reason, Assignment assignment, int attempts, double firstMillis) {
        double total = state.elapsedMillis(System.nanoTime());
        context.metrics().answered(state.account(), state.service().name().value(), status, firstMillis, total);
        context.log()
                .event("request.done")
                .with("request", state.caller().id())
                .with("route", state.route().name())
                .with(
                        "account",
                        state.account().map(account -> account.id().value()).orElse("none"))
                .with("status", status)
                .with("reason", reason)
                .with("attempts", attempts)
                .with(
                        "target",
                        assignment == null
                                ? "none"
                                : assignment.target().instance().id())
                .with("helpers", assignment == null ? 0 : assignment.helpers().size())
                .with("helper_addresses", assignment == null ? "none" : addresses(assignment))
                .with("predicted_ms", assignment == null ? 0 : (long) assignment.predictedMillis())
                .with("first_ms", (long) firstMillis)
                .with("prompt_tokens", promptTokens())
                .with("max_pause_ms", relay.maxPauseMillis())
                .with("total_ms", (long) total)
                .with("state_version", context.catalog().read().version())
                .with("state_age_ms", context.catalogAge().getAsLong())
                .write();
    }

    private static String addresses(Assignment assignment) {
        return assignment.helpers().isEmpty()
                ? "none"
                : assignment.helpers().stream()
                        .map(helper -> helper.endpoint().toString())
                        .collect(Collectors.joining(","));
    }

    private long promptTokens() {
        return state.caller().prompt().map(PromptSize::promptTokens).orElse(0L);
    }
}
