package io.endiveshed.gateway.internal;

/** Rank of a request within its target. */
final class Urgency {
    private static final int LEAST = 9;

    /** Ranks within one priority: requests with a short objective go before those with a long one. */
    private static final int RANKS_PER_PRIORITY = 2;

    /** Objective in milliseconds up to which a request is short. */
    private static final long SHORT_OBJECTIVE_MILLIS = 1_000;

    private Urgency() {}

    /** Returns the rank, 0 (first) to 9. */
    static int of(RequestState request) {
        int within = request.route().latencyObjectiveMillis() <= SHORT_OBJECTIVE_MILLIS ? 0 : 1;
        return Math.max(0, Math.min(LEAST, request.priority() * RANKS_PER_PRIORITY + within));
    }
}
