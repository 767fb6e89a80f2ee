package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.availability.PauseGate;
import io.endiveshed.coordination.availability.RequestGate;
import io.endiveshed.coordination.availability.TargetStatus;
import io.endiveshed.coordination.engine.EngineBacklog;
import io.endiveshed.coordination.limit.ColdStartGate;
import io.endiveshed.coordination.limit.TargetLimit;
import io.endiveshed.coordination.pace.OpenWork;
import io.endiveshed.coordination.service.ColdStart;
import io.endiveshed.coordination.service.TargetFailureHistory;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * State that this process keeps for one target: connections, number of open requests, backlog and recovery.
 * Confined to one event loop.
 */
final class TargetRuntime {
    private static final TargetStatus LEAVING = TargetStatus.unavailable(TargetStatus.Reason.LEAVING, 0);

    private final HttpClient client;
    private final EngineBacklog backlog = new EngineBacklog();
    private final TargetLimit limit;
    private final ColdStartGate cold;
    private final PauseGate pause = new PauseGate();
    private final List<RequestGate> gates = new ArrayList<>();
    private final Consumer<TargetRuntime> whenLeaving;
    private TargetRecovery recovery;
    private TargetInstance instance;
    private boolean isUsable = true;
    private int openRequests;

    TargetRuntime(TargetInstance instance, HttpClient client) {
        this(
                instance,
                client,
                new TargetLimit(),
                new ColdStartGate(instance.id(), () -> ColdStart.NONE),
                leaving -> {});
    }

    /** Creates the state of a target; the consumer is called when the target says in an answer that it leaves. */
    TargetRuntime(
            TargetInstance instance,
            HttpClient client,
            TargetLimit limit,
            ColdStartGate cold,
            Consumer<TargetRuntime> whenLeaving) {
        this.limit = limit;
        this.cold = cold;
        this.whenLeaving = whenLeaving;
        this.instance = instance;
        this.client = client;
        this.recovery = TargetRecovery.withoutSlowStart();
        gates.add(pause);
        gates.add(limit);
        gates.add(cold);
    }

    /** Adds a restriction on the requests that the target gets. */
    void addGate(RequestGate gate) {
        gates.add(gate);
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
        return recovery.failures();
    }

    /** Returns the slow start and the measured speed of this incarnation. */
    TargetRecovery recovery() {
        return recovery;
    }

    /** Replaces the state of a target that has had no request yet. */
    void setRecovery(TargetRecovery initial) {
        recovery = initial;
    }

    /** Returns the unfinished work on the target: of all entries on an engine, of this one on a plain service. */
    OpenWork openWork(long nowNanos) {
        int requests = Math.max(openRequests, backlog.tasks().size());
        return new OpenWork(requests, backlog.prefillMillis(nowNanos));
    }

    /** Returns whether the target may get new requests. */
    boolean isUsable() {
        return isUsable;
    }

    /** Records that the target asks for a back-off; a shorter time does not end a longer one. */
    void pause(Duration duration, long nowNanos) {
        pause.pause(duration, nowNanos);
    }

    /** Returns the limit that the target names, and this entry's share of it. */
    TargetLimit limit() {
        return limit;
    }

    /** Returns the gate that limits the requests while the target is cold. */
    ColdStartGate cold() {
        return cold;
    }

    /**
     * Returns whether the target may take over a part of a prompt. A part counts as no request of this entry, so a target
     * with a limited rate would get any number of them.
     */
    boolean mayHelp(long nowNanos) {
        return limit.requestsPerSecond().isEmpty() && !cold.isCold(nowNanos);
    }

    /** Returns whether the target may get a request of this entry now; if not, why, and for how long. */
    TargetStatus status(long nowNanos) {
        return statusOfAssigned(nowNanos).and(recovery.status(nowNanos));
    }

    /** Returns the status for a request that has been assigned to the target, and so counts in its slow start already. */
    private TargetStatus statusOfAssigned(long nowNanos) {
        TargetStatus status = isUsable ? TargetStatus.AVAILABLE : LEAVING;
        for (RequestGate gate : gates) {
            status = status.and(gate.status(nowNanos));
        }
        return status;
    }

    /** Returns whether the target may get a new request at this moment. */
    boolean mayGetRequests(long nowNanos) {
        return status(nowNanos).isAvailable();
    }

    /** Returns whether nothing but the slow start keeps requests away; pickers then use the target as the last choice. */
    boolean isOnlyRampingUp(long nowNanos) {
        return status(nowNanos).reason() == TargetStatus.Reason.RAMPING_UP;
    }

    /** Returns whether a request that has been assigned to the target may be written now. */
    boolean mayGetAssigned(long nowNanos) {
        return statusOfAssigned(nowNanos).isAvailable();
    }

    /** Returns whether a request may be written to the target now; if so, it counts against all restrictions. */
    boolean tryAcquireRequest(long nowNanos) {
        if (!mayGetAssigned(nowNanos)) {
            return false;
        }
        gates.forEach(gate -> gate.acquire(nowNanos));
        return true;
    }

    /**
     * Returns whether a command or a question about the state of the target may be sent now; if so, it counts against the
     * rate of a cold target.
     */
    boolean tryAcquireCommand(long nowNanos) {
        if (!cold.status(nowNanos).isAvailable()) {
            return false;
        }
        cold.acquire(nowNanos);
        return true;
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
