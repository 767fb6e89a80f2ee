package io.endiveshed.bench.placement;

import io.endiveshed.coordination.engine.PromptRequest;

/** Request with the state of its answer stream, in virtual time. */
final class SimulatedStream {
    private final double arrivedMillis;
    private final PromptRequest request;
    private int eventsLeft;
    private int partsLeft;
    private double lastEventMillis = -1;
    private boolean late;

    SimulatedStream(double arrivedMillis, PromptRequest request, int events) {
        this.arrivedMillis = arrivedMillis;
        this.request = request;
        this.eventsLeft = events;
    }

    PromptRequest request() {
        return request;
    }

    /** Adds a part of the prompt that must be prefilled before the first event. */
    void addPrefillPart() {
        partsLeft++;
    }

    void completePrefillPart() {
        partsLeft--;
    }

    boolean isPrefillComplete() {
        return partsLeft == 0;
    }

    /** Records an event for the caller at the given time in milliseconds. */
    void recordEvent(double nowMillis) {
        double limit = lastEventMillis < 0
                ? arrivedMillis + request.firstEventBudgetMillis()
                : lastEventMillis + request.maxPauseMillis();
        late |= nowMillis > limit;
        lastEventMillis = nowMillis;
        eventsLeft--;
    }

    /** Returns the time of the last event in milliseconds, negative before the first one. */
    double lastEventMillis() {
        return lastEventMillis;
    }

    boolean isComplete() {
        return eventsLeft <= 0;
    }

    /** Returns whether the answer is complete, with the first event and all others in time. */
    boolean isOnTime() {
        return isComplete() && !late;
    }

    /** Returns whether the caller has disconnected because no first event came in time. */
    boolean isAbandoned(double nowMillis) {
        return lastEventMillis < 0 && nowMillis > arrivedMillis + request.callerTimeoutMillis();
    }
}
