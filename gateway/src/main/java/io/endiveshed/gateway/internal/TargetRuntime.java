package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.engine.EngineLoad;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.coordination.service.TargetReputation;
import io.endiveshed.net.http.HttpClient;

/** What this process holds for one target: connections, its own requests and what it has learnt. One event loop. */
final class TargetRuntime {
    private final HttpClient client;
    private final EngineLoad load = new EngineLoad();
    private final TargetReputation reputation = new TargetReputation();
    private TargetInstance instance;
    private boolean usable = true;
    private int outstanding;

    TargetRuntime(TargetInstance instance, HttpClient client) {
        this.instance = instance;
        this.client = client;
    }

    TargetInstance instance() {
        return instance;
    }

    void update(TargetInstance changed, boolean mayGetWork) {
        instance = changed;
        usable = mayGetWork;
    }

    HttpClient client() {
        return client;
    }

    EngineLoad load() {
        return load;
    }

    TargetReputation reputation() {
        return reputation;
    }

    /** Tells whether the target may get new work. */
    boolean isUsable() {
        return usable;
    }

    int outstanding() {
        return outstanding;
    }

    void began() {
        outstanding++;
    }

    void ended() {
        outstanding--;
    }
}
