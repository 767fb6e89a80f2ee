package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.gateway.EngineMemory;
import io.endiveshed.net.http.HttpClient;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Engines that grant all memory and answer all reports, except those that have crashed. */
final class RespondingEngines implements EngineMemory {
    private final Set<InstanceId> crashed = new HashSet<>();

    void crash(InstanceId engine) {
        crashed.add(engine);
    }

    @Override
    public CompletionStage<Boolean> reserve(
            HttpClient client, InstanceId engine, String id, long tokens, Duration lease) {
        return isResponding(client, engine);
    }

    @Override
    public CompletionStage<Boolean> release(HttpClient client, InstanceId engine, String id) {
        return isResponding(client, engine);
    }

    @Override
    public CompletionStage<Use> use(HttpClient client, InstanceId engine, String id) {
        return CompletableFuture.completedFuture(crashed.contains(engine) ? Use.UNKNOWN : Use.USED);
    }

    @Override
    public CompletionStage<Boolean> isResponding(HttpClient client, InstanceId engine) {
        return CompletableFuture.completedFuture(!crashed.contains(engine));
    }
}
