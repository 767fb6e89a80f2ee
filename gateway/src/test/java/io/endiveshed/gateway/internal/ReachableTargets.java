package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.net.http.Reachability;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Targets that accept all connections, except those for which a test sets another result. */
final class ReachableTargets implements TargetProbe {
    private final Map<InstanceId, Reachability> results = new HashMap<>();
    private int probes;

    void set(InstanceId target, Reachability result) {
        results.put(target, result);
    }

    /** Returns the number of probes so far. */
    int probes() {
        return probes;
    }

    @Override
    public CompletionStage<Reachability> probe(TargetRuntime target) {
        probes++;
        return CompletableFuture.completedFuture(
                results.getOrDefault(target.instance().id(), Reachability.ACCEPTING));
    }
}
