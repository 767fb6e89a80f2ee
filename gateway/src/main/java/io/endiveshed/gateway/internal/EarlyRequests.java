package io.endiveshed.gateway.internal;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;
import java.util.function.BooleanSupplier;

/**
 * Requests that reach an entry in the moment between its start and the first desired state and list of targets.
 *
 * <p>Answers the load after a restart: callers reconnect within milliseconds, the store answers some ten milliseconds
 * later. A refusal would cost each of them its retry. The wait is bounded, so a request that cannot be served soon is
 * refused early. Confined to one thread.
 */
final class EarlyRequests {
    /** Longest wait in nanoseconds; some ten answers of the platform's store, and below the objective of short prompts. */
    private static final long MAX_WAIT_NANOS = 200_000_000L;

    /** Most requests that wait; about those of a second at a busy entry. */
    private static final int MAX_WAITING = 256;

    private final BooleanSupplier canServe;
    private final Queue<Waiting> waiting = new ArrayDeque<>();
    private boolean served;

    EarlyRequests(BooleanSupplier canServe) {
        this.canServe = canServe;
    }

    /**
     * Keeps a request if the entry cannot serve yet.
     *
     * @param arrivedNanos when the request arrived
     * @param handler decides on the request when the entry can serve, or at the end of the wait
     * @return whether the request waits; if not, the caller decides on it now
     */
    boolean hold(long arrivedNanos, Runnable handler) {
        if (isServing() || waiting.size() >= MAX_WAITING) {
            return false;
        }
        waiting.add(new Waiting(arrivedNanos, handler));
        return true;
    }

    /** Hands over the requests that need not wait any longer; to be called when something was learnt, and regularly. */
    void release(long nowNanos) {
        boolean all = isServing();
        for (Iterator<Waiting> requests = waiting.iterator(); requests.hasNext(); ) {
            Waiting request = requests.next();
            if (all || nowNanos - request.arrivedNanos >= MAX_WAIT_NANOS) {
                requests.remove();
                request.handler.run();
            }
        }
    }

    private boolean isServing() {
        served |= canServe.getAsBoolean();
        return served;
    }

    private record Waiting(long arrivedNanos, Runnable handler) {}
}
