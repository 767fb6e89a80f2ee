package io.endiveshed.gateway.internal;

/** Counts and limits the attempts of one request that ended before the request was written. */
final class UnsentAttempts {
    /** Maximum number of failed connections per request; they reach no target and so do not count as attempts. */
    private static final int MAX_CONNECT_FAILURES = 3;

    /** Maximum number of times that a prompt is placed again because an engine did not reserve memory for it. */
    private static final int MAX_PREPARATION_FAILURES = 2;

    private final GatewayMetrics metrics;
    private int connectFailures;
    private int preparationFailures;

    UnsentAttempts(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    /** Records that memory was not granted; returns whether the request may be placed again. */
    boolean mayPlaceAfterRefusedMemory(Assignment refused, long nowNanos) {
        if (wasWithdrawn(refused, nowNanos)) {
            return true;
        }
        preparationFailures++;
        return preparationFailures <= MAX_PREPARATION_FAILURES;
    }

    /** Records that no connection was opened or used; returns whether the request may be placed again. */
    boolean mayPlaceAfterUnusedConnection(Assignment unsent, long nowNanos) {
        if (wasWithdrawn(unsent, nowNanos)) {
            return true;
        }
        connectFailures++;
        return connectFailures <= MAX_CONNECT_FAILURES;
    }

    /** An attempt whose engine was withdrawn meanwhile says nothing about the request, so it is not limited. */
    private boolean wasWithdrawn(Assignment unsent, long nowNanos) {
        boolean isWithdrawn = unsent.isWithdrawn(nowNanos);
        if (isWithdrawn) {
            metrics.count("placements_withdrawn");
        }
        return isWithdrawn;
    }
}
