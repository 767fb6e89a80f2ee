package io.endiveshed.coordination.service;

/** Kind of a route, which determines whether its requests may be sent again. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request may run at most once. */
    NON_IDEMPOTENT,
    /** The answer is a stream of events; a request may run at most once unless its stream is resumable. */
    STREAMING
}
