package io.endiveshed.base.error;

import java.util.Locale;

/** Kinds of error, each with its HTTP status and a default remedy. */
public enum ErrorKind {
    INVALID_REQUEST(400, "correct the request as the message says"),
    IDEMPOTENCY_KEY_REQUIRED(400, "send an Idempotency-Key header; this route may not be repeated"),
    UNAUTHENTICATED(401, "send a valid key in the Authorization header: Bearer <key>"),
    NOT_PERMITTED(403, "ask the operators to allow this for the client account"),
    NOT_FOUND(404, "use a path, model or service that GET /v1/models and the configuration list"),
    REQUEST_TIMEOUT(408, "send the whole request sooner or on a faster connection"),
    IDEMPOTENCY_KEY_REUSED(409, "use a new key for a different call, or repeat the call with the same body"),
    CALL_IN_PROGRESS(409, "ask again with the same key after the time in Retry-After"),
    BODY_TOO_LARGE(413, "send a smaller body"),
    PROMPT_TOO_LONG(413, "shorten the prompt to the limit in the message"),
    HEADERS_TOO_LARGE(431, "send fewer or shorter headers"),
    RATE_LIMITED(429, "ask again after the time in Retry-After"),
    OVERLOADED(503, "ask again after the time in Retry-After"),
    NO_TARGET(
            503, "ask again after the time in Retry-After; operators: check that sidecars of this target are running"),
    EVACUATED(
            503,
            "ask again after the time in Retry-After; operators: lift the evacuation of a failure domain in which the"
                    + " service has targets"),
    OUTSIDE_HOME_REGIONS(
            503,
            "ask again after the time in Retry-After; operators: start targets of the service in a home region, or change"
                    + " the home regions of the route or the client account"),
    PROMPT_BLOCKED(
            503,
            "ask without the document or context that the prompt has in common with those before which engines crashed,"
                    + " or after the time in Retry-After"),
    REQUEST_BLOCKED(
            503, "do not repeat this request: targets crash when they run it; ask again after the time in Retry-After"),
    STORE_UNAVAILABLE(503, "ask again after the time in Retry-After; operators: check the platform's object API"),
    STOPPING(503, "ask again; another entry daemon will answer"),
    TARGET_FAILED(502, "ask again if the call may be repeated"),
    LINK_LOST(502, "ask again if the call may be repeated"),
    DEADLINE_EXCEEDED(504, "allow more time in X-Request-Deadline-Ms or ask again later"),
    CANCELLED(499, "none; the caller closed the connection"),
    STALE_INCARNATION(503, "ask again; the target was replaced"),
    STALE_TOKEN(409, "read the lease again; another holder has taken it"),
    PROTOCOL_ERROR(502, "run the same version of endiveshed on both sides of the link"),
    INTERNAL(500, "report this with the request id");

    private final int httpStatus;
    private final String remedy;

    ErrorKind(int httpStatus, String remedy) {
        this.httpStatus = httpStatus;
        this.remedy = remedy;
    }

    /** Returns the HTTP status of the response to the caller. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the default remedy, for failures that do not set their own. */
    public String remedy() {
        return remedy;
    }

    /** Returns the error code in the response to the caller, such as {@code prompt_too_long}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
