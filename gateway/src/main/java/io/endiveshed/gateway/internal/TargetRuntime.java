package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.engine.EngineBacklog;
import io.endiveshed.coordination.limit.TargetLimit;
import io.endiveshed.coordination.service.TargetFailureHistory;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * State that this process keeps for one target: connections, number of open requests, backlog and recent failures.
 * Confined to one event loop.
 */
final class TargetRuntime {
    private final HttpClient client;
    private final EngineBacklog backlog = new EngineBacklog();
    private final TargetFailureHistory failureHistory = new TargetFailureHistory();
    private final TargetLimit limit;
    private final Consumer<TargetRuntime> whenLeaving;
    private TargetInstance instance;
    private boolean isUsable = true;
    private long pausedNanos;
    private long pauseMillis;
    private int openRequests;

    TargetRuntime(TargetInstance instance, HttpClient client) {
        this(instance, client, new TargetLimit(), leaving -> {});
    }

    /** Creates the state of a target; the consumer is called when the target says in an answer that it leaves. */
    TargetRuntime(TargetInstance instance, HttpClient client, TargetLimit limit, Consumer<TargetRuntime> whenLeaving) {
        this.limit = limit;
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
    void markLeaving() {
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

    /** Records that the target wants no requests for some time; a shorter time does not end a longer one. */
    void pause(Duration duration, long nowNanos) {
        pauseMillis = Math.max(remainingPauseMillis(nowNanos), duration.toMillis());
        pausedNanos = nowNanos;
    }

    private long remainingPauseMillis(long nowNanos) {
        return Math.max(0, pauseMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos - pausedNanos));
    }

    /** Returns the limit that the target names, and this entry's share of it. */
    TargetLimit limit() {
        return limit;
    }

    /** Returns after how many milliseconds the target takes a request of this entry; 0 if it takes one now. */
    long millisUntilRequest(long nowNanos) {
        return Math.max(remainingPauseMillis(nowNanos), limit.waitMillis(nowNanos));
    }

    /** Returns whether the target may get a new request at this moment. */
    boolean mayGetRequests(long nowNanos) {
        return isUsable && millisUntilRequest(nowNanos) == 0;
    }

    /** Returns whether a request may be written to the target now; if so, it counts against the target's limit. */
    boolean tryAcquireRequest(long nowNanos) {
        return isUsable && remainingPauseMillis(nowNanos) == 0 && limit.tryAcquire(nowNanos);
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
