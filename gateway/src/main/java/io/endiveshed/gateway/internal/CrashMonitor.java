package io.endiveshed.gateway.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.crash.BlockedTrait;
import io.endiveshed.coordination.crash.CrashSuspects;
import io.endiveshed.coordination.crash.RequestTrait;
import io.endiveshed.coordination.crash.TargetCrash;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Notices targets that crash, shares them with the other entries, and refuses requests under which they crash. Confined
 * to one event loop.
 */
final class CrashMonitor implements CrashListener {
    private final CrashSuspects suspects = new CrashSuspects();
    private final CrashDetector detector;
    private final GatewayMetrics metrics;
    private final EventLog log;
    private CrashNotices peers = CrashNotices.NONE;

    CrashMonitor(TargetProbe probe, EventLoop loop, GatewayMetrics metrics, EventLog log) {
        this.detector = new CrashDetector(probe, loop, System::nanoTime, this::targetCrashed);
        this.metrics = metrics;
        this.log = log;
    }

    /** Sets where crashes and answers are sent to; until then they are known to this entry only. */
    void shareWith(CrashNotices notices) {
        peers = notices;
    }

    /** Records that the answer to a request broke off or is missing, and finds out whether its target has crashed. */
    void attemptBroken(TargetRuntime target, RequestTraits traits) {
        detector.attemptBroken(target, traits.all());
    }

    /** Records that a target is no longer listed, or was started again, without an announced shutdown. */
    void targetGone(TargetRuntime target) {
        detector.targetGone(target);
    }

    private void targetCrashed(TargetCrash crash) {
        recordCrash("own", crash);
        peers.crashed(crash);
    }

    /** Records a crash, and logs and counts only its first report; each entry with open requests there sends one. */
    private void recordCrash(String source, TargetCrash crash) {
        long nowNanos = System.nanoTime();
        if (!suspects.crashed(crash, nowNanos)) {
            return;
        }
        metrics.count("target_crashes");
        log.change("target.crashed")
                .with("target", crash.target())
                .with("started", crash.startedMillis())
                .with("source", source)
                .with("traits", crash.traits().size())
                .with("unexplained", suspects.unexplainedCrashes(nowNanos))
                .write();
    }

    /** Records a complete answer to a request. */
    void answered(RequestTraits traits) {
        Set<RequestTrait> cleared =
                suspects.answered(suspects.hasSuspects() ? traits.all() : traits.parts(), System.nanoTime());
        if (!cleared.isEmpty()) {
            peers.answered(cleared);
        }
    }

    /** Returns why a request is refused; empty if it may be sent. */
    Optional<Failure> refusal(RequestTraits traits) {
        long nowNanos = System.nanoTime();
        decide(nowNanos);
        if (!suspects.isRefusing(nowNanos)) {
            return Optional.empty();
        }
        Optional<BlockedTrait> block = suspects.findBlock(traits.all(), nowNanos);
        block.ifPresent(found -> metrics.count("requests_blocked"));
        return block.map(CrashMonitor::failure);
    }

    private static Failure failure(BlockedTrait block) {
        boolean isPart = block.trait().kind() == RequestTrait.Kind.PROMPT_PART;
        return Failure.of(isPart ? ErrorKind.PROMPT_BLOCKED : ErrorKind.REQUEST_BLOCKED)
                .message(
                        isPart
                                ? "engines crash on part " + block.trait().value() + " of the prompt"
                                : "targets crash when they run this request (" + block.trait() + ")")
                .retryAfter(Duration.ofMillis(block.remainingMillis()))
                .build();
    }

    /** Returns the blocked traits, to be repeated to the other entries. */
    List<BlockedTrait> blocked() {
        long nowNanos = System.nanoTime();
        decide(nowNanos);
        return suspects.blocked(nowNanos);
    }

    private void decide(long nowNanos) {
        for (RequestTrait trait : suspects.decide(nowNanos)) {
            logBlocked(trait, "own", nowNanos);
        }
    }

    @Override
    public void crashedElsewhere(InstanceId entry, TargetCrash crash) {
        recordCrash(entry.value(), crash);
    }

    @Override
    public void answeredElsewhere(Set<RequestTrait> traits) {
        suspects.answered(traits, System.nanoTime());
    }

    @Override
    public void blockedElsewhere(BlockedTrait blocked) {
        long nowNanos = System.nanoTime();
        boolean wasBlocked = suspects.isBlocked(blocked.trait(), nowNanos);
        suspects.blockedElsewhere(blocked, nowNanos);
        if (!wasBlocked && suspects.isBlocked(blocked.trait(), nowNanos)) {
            logBlocked(blocked.trait(), "another entry", nowNanos);
        }
    }

    private void logBlocked(RequestTrait trait, String source, long nowNanos) {
        log.change("request.blocked")
                .with("trait", trait)
                .with("source", source)
                .with("unexplained", suspects.unexplainedCrashes(nowNanos))
                .write();
    }
}
