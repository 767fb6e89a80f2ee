package io.endiveshed.gateway.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.PromptPartId;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.crash.BlockedPart;
import io.endiveshed.coordination.crash.CrashingParts;
import io.endiveshed.coordination.crash.EngineCrash;
import io.endiveshed.gateway.EngineMemory;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Notices engines that crash, shares them with the other entries, and refuses prompts on which they crash. Confined to
 * one event loop.
 *
 * <p>An answer that breaks off may have other causes, so the engine is asked for its report; one that answers has not
 * crashed.
 */
final class CrashMonitor implements CrashListener {
    private final CrashingParts crashingParts = new CrashingParts();
    private final Map<TargetRuntime, Set<PromptPartId>> brokenPartsByEngine = new HashMap<>();
    private final EngineMemory engines;
    private final EventLoop loop;
    private final GatewayMetrics metrics;
    private final EventLog log;
    private CrashNotices peers = CrashNotices.NONE;

    CrashMonitor(EngineMemory engines, EventLoop loop, GatewayMetrics metrics, EventLog log) {
        this.engines = engines;
        this.loop = loop;
        this.metrics = metrics;
        this.log = log;
    }

    /** Sets where crashes and answers are sent to; until then they are known to this entry only. */
    void shareWith(CrashNotices notices) {
        peers = notices;
    }

    /** Records that the answer to a prompt broke off, and finds out whether its engine has crashed. */
    void attemptBroken(TargetRuntime engine, Collection<PromptPartId> parts) {
        if (parts.isEmpty()) {
            return;
        }
        Set<PromptPartId> broken = brokenPartsByEngine.get(engine);
        if (broken != null) {
            broken.addAll(parts);
            return;
        }
        brokenPartsByEngine.put(engine, new HashSet<>(parts));
        engines.isResponding(engine.client(), engine.instance().id())
                .thenAccept(isResponding -> loop.execute(() -> checked(engine, isResponding)));
    }

    private void checked(TargetRuntime engine, boolean isResponding) {
        Set<PromptPartId> parts = brokenPartsByEngine.remove(engine);
        if (isResponding) {
            return;
        }
        EngineCrash crash =
                new EngineCrash(engine.instance().id(), engine.instance().startedMillis(), parts);
        recordCrash("own", crash);
        peers.crashed(crash);
    }

    /** Records a crash, and logs and counts only its first report; each entry with open requests there sends one. */
    private void recordCrash(String source, EngineCrash crash) {
        if (!crashingParts.crashed(crash, System.nanoTime())) {
            return;
        }
        metrics.count("engine_crashes");
        log.change("engine.crashed")
                .with("target", crash.engine())
                .with("started", crash.startedMillis())
                .with("source", source)
                .with("prompt_parts", crash.parts().size())
                .with("unexplained", crashingParts.unexplainedCrashes())
                .write();
    }

    /** Records a complete answer to a prompt. */
    void answered(Collection<PromptPartId> parts) {
        if (parts.isEmpty()) {
            return;
        }
        Set<PromptPartId> cleared = crashingParts.answered(parts, System.nanoTime());
        if (!cleared.isEmpty()) {
            peers.answered(cleared);
        }
    }

    /** Returns why a prompt is refused; empty if it may be sent. */
    Optional<Failure> refusal(Collection<PromptPartId> parts) {
        if (parts.isEmpty()) {
            return Optional.empty();
        }
        long nowNanos = System.nanoTime();
        decide(nowNanos);
        OptionalLong remaining = crashingParts.blockedMillis(parts, nowNanos);
        if (remaining.isEmpty()) {
            return Optional.empty();
        }
        metrics.count("prompts_blocked");
        return Optional.of(Failure.of(ErrorKind.PROMPT_BLOCKED)
                .message("engines crash on a part of the prompt")
                .retryAfter(Duration.ofMillis(remaining.getAsLong()))
                .build());
    }

    /** Returns the blocked parts, to be repeated to the other entries. */
    List<BlockedPart> blockedParts() {
        long nowNanos = System.nanoTime();
        decide(nowNanos);
        return crashingParts.blocked(nowNanos);
    }

    private void decide(long nowNanos) {
        for (PromptPartId part : crashingParts.decide(nowNanos)) {
            logBlocked(part, "own", crashingParts.unexplainedCrashes());
        }
    }

    @Override
    public void crashedElsewhere(InstanceId entry, EngineCrash crash) {
        recordCrash(entry.value(), crash);
    }

    @Override
    public void answeredElsewhere(Set<PromptPartId> parts) {
        crashingParts.answered(parts, System.nanoTime());
    }

    @Override
    public void blockedElsewhere(BlockedPart blocked) {
        long nowNanos = System.nanoTime();
        boolean wasBlocked = isBlocked(blocked.part(), nowNanos);
        crashingParts.blockedElsewhere(blocked, nowNanos);
        if (!wasBlocked && isBlocked(blocked.part(), nowNanos)) {
            logBlocked(blocked.part(), "another entry", crashingParts.unexplainedCrashes());
        }
    }

    private boolean isBlocked(PromptPartId part, long nowNanos) {
        return crashingParts.blockedMillis(List.of(part), nowNanos).isPresent();
    }

    private void logBlocked(PromptPartId part, String source, int unexplained) {
        log.change("prompt-part.blocked")
                .with("part", part)
                .with("source", source)
                .with("unexplained", unexplained)
                .write();
    }
}
