package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.engine.EngineBacklog;
import io.endiveshed.coordination.service.TargetFailureHistory;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.net.http.HttpClient;
import java.util.function.Consumer;

/**
 * State that this process keeps for one target: connections, number of open requests, backlog and recent failures.
 * Confined to one event loop.
 */
final class TargetRuntime {
    private final HttpClient client;
    private final EngineBacklog backlog = new EngineBacklog();
    private final TargetFailureHistory failureHistory = new TargetFailureHistory();
    private final Consumer<TargetRuntime> whenLeaving;
    private TargetInstance instance;
    private boolean isUsable = true;
    private int openRequests;

    TargetRuntime(TargetInstance instance, HttpClient client) {
        this(instance, client, leaving -> {});
    }

    /** Creates the state of a target; the consumer is called when the target says in an answer that it leaves. */
    TargetRuntime(TargetInstance instance, HttpClient client, Consumer<TargetRuntime> whenLeaving) {
        this.whenLeaving = whenLeaving;
        this.instance = instance;
        this.client = client;
    }

    TargetInstance instance() {
        return instance;
    }

    void update(TargetInstance changed, boolean mayGetRequests) {
        instance = changed;
        isUsable = mayGetRequests;
    }

    /** Records that the target has said in an answer that it leaves; it gets no further requests. */
    void leaves() {
        if (isUsable) {
            isUsable = false;
            whenLeaving.accept(this);
        }
    }

    HttpClient client() {
        return client;
    }

    EngineBacklog backlog() {
        return backlog;
    }

    TargetFailureHistory failureHistory() {
        return failureHistory;
    }

    /** Returns whether the target may get new requests. */
    boolean isUsable() {
        return isUsable;
    }

    /** Returns the number of requests of this entry that are assigned to the target. */
    int openRequests() {
        return openRequests;
    }

    void requestStarted() {
        openRequests++;
    }

    void requestEnded() {
        openRequests--;
    }
}
