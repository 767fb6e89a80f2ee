package io.endiveshed.sidecar.internal;

import io.endiveshed.base.id.AttemptId;
import io.endiveshed.ports.engine.EnginePort;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Cancels requests that the engine runs and the sidecar does not know, such as those of a sidecar that this one
 * replaces. A request must be unknown in two lists in a row, because a list can be older than a request that has ended.
 */
public final class OrphanedRequestCanceller {
    /** Interval between two lists. */
    public static final Duration CHECK_INTERVAL = Duration.ofSeconds(2);

    private final EnginePort engine;
    private final Supplier<Collection<AttemptId>> known;
    private Set<AttemptId> suspects = Set.of();
    private boolean reachable = true;

    /** Makes a check against the attempts that the supplier returns. */
    public OrphanedRequestCanceller(EnginePort engine, Supplier<Collection<AttemptId>> known) {
        this.engine = engine;
        this.known = known;
    }

    /** Reads the engine's list and cancels what was unknown in the last list too. */
    public void cancelOrphans() {
        engine.running().thenAccept(list -> {
            noteReachable(list.isRight());
            list.forEach(this::compare);
        });
    }

    private synchronized void compare(List<AttemptId> running) {
        Collection<AttemptId> ours = known.get();
        Set<AttemptId> unknown = running.stream()
                .filter(attempt -> !ours.contains(attempt))
                .collect(java.util.stream.Collectors.toSet());
        unknown.stream().filter(suspects::contains).forEach(engine::cancel);
        suspects = Set.copyOf(unknown);
    }

    private synchronized void noteReachable(boolean now) {
        if (now != reachable) {
            Logger.info("the engine {} its running requests", now ? "lists" : "does not list");
            reachable = now;
        }
    }
}
