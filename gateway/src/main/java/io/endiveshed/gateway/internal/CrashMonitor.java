package io.endiveshed.gateway.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.crash.AnsweredTrait;
import io.endiveshed.coordination.crash.BlockedTrait;
import io.endiveshed.coordination.crash.CrashRecord;
import io.endiveshed.coordination.crash.CrashRecords;
import io.endiveshed.coordination.crash.CrashSuspects;
import io.endiveshed.coordination.crash.RequestTrait;
import io.endiveshed.coordination.crash.TargetCrash;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.gateway.CrashRegistry;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.StoreError;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

/**
 * Notices targets that crash, shares them with the other entries by datagrams and through the store, and refuses requests
 * under which they crash. Confined to one event loop.
 */
final class CrashMonitor implements CrashListener, FeedFollower.Listener<CrashRecord> {
    /** Maximum number of entries, on average, that tell the others of an answer which all of them may have seen. */
    private static final double MAX_TELLING_ENTRIES = 8;

    private final CrashSuspects suspects = new CrashSuspects();
    private final CrashRecords records;
    private final CrashRegistry registry;
    private final CrashDetector detector;
    private final EventLoop loop;
    private Consumer<TargetCrash> whenCrashed = crash -> {};
    private final GatewayMetrics metrics;
    private final EventLog log;
    private CrashNotices peers = CrashNotices.NONE;
    private int peerCount;
    private boolean isListed;
    private boolean isWriting;

    CrashMonitor(
            InstanceId self,
            TargetProbe probe,
            CrashRegistry registry,
            EventLoop loop,
            GatewayMetrics metrics,
            EventLog log) {
        this.records = new CrashRecords(self, suspects);
        this.registry = registry;
        this.loop = loop;
        this.detector = new CrashDetector(probe, loop, System::nanoTime, this::targetCrashed);
        this.metrics = metrics;
        this.log = log;
    }

    /** Sets where crashes and answers are sent to; until then they are known to this entry only. */
    void shareWith(CrashNotices notices) {
        peers = notices;
    }

    /** Sets an action for each crash that this entry or another has seen. */
    void whenCrashed(Consumer<TargetCrash> action) {
        whenCrashed = action;
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
        records.observed(crash, System.currentTimeMillis());
        peers.crashed(crash);
        tellEarlierAnswers(crash);
    }

    /** Tells the other entries of answers before a crash; some of those that know of one are enough. */
    private void tellEarlierAnswers(TargetCrash crash) {
        List<AnsweredTrait> answers = suspects.answersBeforeCrashes(crash.traits(), System.nanoTime());
        boolean isTelling = ThreadLocalRandom.current().nextDouble() * peerCount < MAX_TELLING_ENTRIES;
        if (!answers.isEmpty() && isTelling) {
            peers.answered(answers);
        }
    }

    /** Records a crash, and logs and counts only its first report; each entry with open requests there sends one. */
    private void recordCrash(String source, TargetCrash crash) {
        long nowNanos = System.nanoTime();
        if (!suspects.crashed(crash, nowNanos)) {
            return;
        }
        whenCrashed.accept(crash);
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
        boolean mayBeSuspect = traits.areCheap() || suspects.hasSuspects();
        Set<RequestTrait> cleared = suspects.answered(mayBeSuspect ? traits.all() : traits.parts(), System.nanoTime());
        if (!cleared.isEmpty()) {
            peers.answered(
                    cleared.stream().map(trait -> new AnsweredTrait(trait, 0)).toList());
        }
    }

    /** Returns why a request is refused; empty if it may be sent. */
    Optional<Failure> refusal(RequestTraits traits) {
        long nowNanos = System.nanoTime();
        decide(nowNanos);
        return suspects.isRefusing(nowNanos)
                ? suspects.findBlock(traits.all(), nowNanos).map(CrashMonitor::failure)
                : Optional.empty();
    }

    /**
     * Writes what this entry has seen of crashes to the store if others may need it from there.
     *
     * @param isFullyConnected whether all entries exchange datagrams
     * @param entries number of the other entries
     */
    void store(boolean isFullyConnected, int entries) {
        peerCount = entries;
        if (isWriting) {
            return;
        }
        records.toWrite(isFullyConnected, System.nanoTime(), System.currentTimeMillis())
                .ifPresent(record -> {
                    isWriting = true;
                    metrics.countStoreCall("crashes", StoreCalls.Kind.WRITE);
                    registry.write(record).thenAccept(result -> loop.execute(() -> written(record, result)));
                });
    }

    private void written(CrashRecord record, Either<StoreError, Boolean> result) {
        isWriting = false;
        result.peek(success -> records.written(record));
        log.change("crashes.stored")
                .with("crashes", record.crashes().size())
                .with("answers", record.answers().size())
                .with("result", result.isRight() ? "written" : result.getLeft())
                .write();
    }

    /** Returns whether the crashes that entries have stored were read. */
    boolean isListed() {
        return isListed;
    }

    @Override
    public void listed(FeedBatch<CrashRecord> batch) {
        isListed = true;
        List<CrashRecord> all =
                batch.events().stream().flatMap(event -> event.value().stream()).toList();
        records.listed(all, System.nanoTime(), System.currentTimeMillis());
    }

    @Override
    public void changed(FeedBatch<CrashRecord> batch) {
        batch.events().stream()
                .flatMap(event -> event.value().stream())
                .forEach(record -> records.changed(record, System.nanoTime(), System.currentTimeMillis()));
    }

    @Override
    public void storeRegained(ClockReading lastFailureStart) {}

    @Override
    public void storeRestored() {
        records.storeRestored();
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
        tellEarlierAnswers(crash);
    }

    @Override
    public void answeredElsewhere(List<AnsweredTrait> answers) {
        suspects.answeredElsewhere(answers, System.nanoTime());
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
