package io.endiveshed.coordination.service;

/** What may be repeated on a route. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request runs at most once. */
    NON_IDEMPOTENT,
    /** The answer is a stream of events; a request runs at most once, unless its stream may be resumed. */
    STREAMING
}
