package io.endiveshed.gateway.internal;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Queue;
import java.util.function.BooleanSupplier;

/**
 * Queue of requests that reach an entry between its start and its first desired state and list of targets.
 *
 * <p>Handles the load after a restart: callers reconnect within milliseconds, while the store responds some ten
 * milliseconds later. A refusal would cost each of them its retry. The wait is bounded, so that a request that cannot
 * be served soon is refused early. Confined to one thread.
 */
final class StartupRequestQueue {
    /**
     * Maximum wait in nanoseconds: the time of some ten responses of the platform's store, and less than the latency
     * objective of short prompts.
     */
    private static final long MAX_WAIT_NANOS = 200_000_000L;

    /** Maximum number of waiting requests; about the requests of one second at a busy entry. */
    private static final int MAX_WAITING_REQUESTS = 256;

    private final BooleanSupplier canServe;
    private final Queue<WaitingRequest> waitingRequests = new ArrayDeque<>();
    private boolean hasServed;

    StartupRequestQueue(BooleanSupplier canServe) {
        this.canServe = canServe;
    }

    /**
     * Queues a request if the entry cannot serve yet and the queue is not full.
     *
     * @param arrivedNanos when the request arrived
     * @param handler handles the request once the entry can serve, or at the end of the wait
     * @return whether the request was queued; if not, the caller of this method must handle it now
     */
    boolean offer(long arrivedNanos, Runnable handler) {
        if (isServing() || waitingRequests.size() >= MAX_WAITING_REQUESTS) {
            return false;
        }
        waitingRequests.add(new WaitingRequest(arrivedNanos, handler));
        return true;
    }

    /**
     * Runs the handlers of all requests if the entry can serve, otherwise of those whose wait is over. Must be called
     * at short intervals while requests wait.
     */
    void releaseDue(long nowNanos) {
        boolean releasesAll = isServing();
        for (Iterator<WaitingRequest> requests = waitingRequests.iterator(); requests.hasNext(); ) {
            WaitingRequest request = requests.next();
            if (releasesAll || nowNanos - request.arrivedNanos >= MAX_WAIT_NANOS) {
                requests.remove();
                request.handler.run();
            }
        }
    }

    /** Returns whether the entry can serve, or could at an earlier call. */
    private boolean isServing() {
        hasServed |= canServe.getAsBoolean();
        return hasServed;
    }

    private record WaitingRequest(long arrivedNanos, Runnable handler) {}
}
