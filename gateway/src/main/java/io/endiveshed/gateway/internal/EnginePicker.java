package io.endiveshed.gateway.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.engine.EngineCandidate;
import io.endiveshed.coordination.engine.EngineCostModel;
import io.endiveshed.coordination.engine.EnginePlacement;
import io.endiveshed.coordination.engine.EnginePlacer;
import io.endiveshed.coordination.engine.PromptRequest;
import io.endiveshed.gateway.CallerRequest.PromptSize;
import io.endiveshed.gateway.EngineMemory;
import io.endiveshed.gateway.EntryRecord;
import io.endiveshed.gateway.ForwardingOptions;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Picks the engines of a prompt with {@link EnginePlacer} and notifies the other entries. Confined to one event loop.
 */
final class EnginePicker implements TargetPicker {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Body bytes per prompt token, used for requests that do not state the size of their prompt. */
    private static final int BYTES_PER_TOKEN = 4;

    /** Expected output in tokens of requests that do not state it. */
    private static final long DEFAULT_OUTPUT_TOKENS = 500;

    /** Retry delay sent to a caller when no engine is known; live targets are listed again within this time. */
    private static final Duration NO_ENGINE_RETRY_DELAY = Duration.ofMillis(500);

    private final HomeTargets targets;
    private final FailureDomain domain;
    private final EngineBacklogTracker backlogs;
    private final PeerExchange peers;
    private final EngineMemory memory;
    private final Duration maxUnusedMemory;
    private final EventLoop loop;
    private final EventLog log;
    private final String reservationPrefix;
    private final EnginePlacer placer = new EnginePlacer();
    private long lastNumber;

    EnginePicker(
            EntryRecord self,
            FailureDomain domain,
            HomeTargets targets,
            EngineBacklogTracker backlogs,
            PeerExchange peers,
            EngineMemory memory,
            Duration maxUnusedMemory,
            EventLoop loop,
            EventLog log) {
        this.targets = targets;
        this.domain = domain;
        this.backlogs = backlogs;
        this.peers = peers;
        this.memory = memory;
        this.maxUnusedMemory = maxUnusedMemory;
        this.loop = loop;
        this.log = log;
        // Reservation ids must differ between entries and between incarnations of one entry.
        this.reservationPrefix = self.instance() + "-" + Long.toString(self.startedMillis(), Character.MAX_RADIX);
    }

    @Override
    public Either<Failure, Assignment> pick(
            AdmittedRequest request, long waitingSinceNanos, Set<TargetRuntime> excluded, long nowNanos) {
        EngineCostModel costs = request.service().engineCosts().orElseThrow();
        PromptRequest prompt = promptRequest(request, waitingSinceNanos, nowNanos);
        IdentityHashMap<EngineCandidate, TargetRuntime> runtimes = new IdentityHashMap<>();
        List<EngineCandidate> candidates = candidates(request, excluded, false, nowNanos, runtimes);
        if (candidates.isEmpty()) {
            // Only requests can show that engines which ramp up bear more.
            candidates = candidates(request, excluded, true, nowNanos, runtimes);
        }
        if (candidates.isEmpty()) {
            Optional<Failure> outside = targets.refusal(request);
            if (outside.isPresent()) {
                return Either.left(outside.get());
            }
            TargetPauses pauses = TargetPauses.of(request.service().name(), targets.of(request), nowNanos);
            return refuse(
                    pauses.isEvacuated() ? ErrorKind.EVACUATED : ErrorKind.OVERLOADED,
                    pauses.reason(),
                    pauses.retryAfter().orElse(NO_ENGINE_RETRY_DELAY),
                    request,
                    nowNanos);
        }
        return placer.place(costs, prompt, candidates, backlogs.longPrefillShare(candidates.size()), nowNanos)
                .fold(
                        waitMillis -> refuse(
                                ErrorKind.OVERLOADED,
                                "all engines are busy",
                                Duration.ofMillis(waitMillis),
                                request,
                                nowNanos),
                        placement -> Either.right(assign(request, costs, prompt, placement, runtimes, nowNanos)));
    }

    /** Returns the eligible engines in the common order, and adds the runtime of each to the map. */
    private List<EngineCandidate> candidates(
            AdmittedRequest request,
            Set<TargetRuntime> excluded,
            boolean includesRampingUp,
            long nowNanos,
            IdentityHashMap<EngineCandidate, TargetRuntime> runtimes) {
        List<EngineCandidate> candidates = new ArrayList<>();
        for (TargetRuntime target : targets.of(request)) {
            if (!excluded.contains(target)
                    && !target.failureHistory().isBackingOff(nowNanos)
                    && (target.mayGetRequests(nowNanos) || (includesRampingUp && target.isOnlyRampingUp(nowNanos)))) {
                double networkDelayMillis = request.service()
                        .delays()
                        .between(domain, target.instance().domain());
                EngineCandidate candidate = new EngineCandidate(
                        target.instance().id(),
                        target.instance().domain(),
                        !target.instance().domain().equals(domain),
                        target.instance().slots(),
                        target.backlog(),
                        target.mayHelp(nowNanos),
                        networkDelayMillis,
                        target.recovery().speedFactor(nowNanos));
                candidates.add(candidate);
                runtimes.put(candidate, target);
            }
        }
        return candidates;
    }

    /** Returns the prompt to place; a resumed stream must continue within the longest pause that is on time. */
    private static PromptRequest promptRequest(AdmittedRequest request, long waitingSinceNanos, long nowNanos) {
        Optional<PromptSize> size = request.caller().promptSize();
        double waitedMillis = (nowNanos - waitingSinceNanos) / NANOS_PER_MILLI;
        double callerTimeoutMillis = CallerTimeouts.nextEventMillis(request.route()) - waitedMillis;
        boolean isResumed = waitingSinceNanos != request.arrivedNanos();
        double objectiveMillis =
                isResumed ? request.route().maxPauseMillis() : request.route().latencyObjectiveMillis();
        return new PromptRequest(
                size.map(PromptSize::promptTokens)
                        .orElse((long) request.caller().data().body().length / BYTES_PER_TOKEN),
                size.map(PromptSize::expectedOutputTokens).orElse(DEFAULT_OUTPUT_TOKENS),
                objectiveMillis - waitedMillis,
                Math.min(callerTimeoutMillis, request.remainingMillis(nowNanos)),
                Math.max(1, request.route().maxPauseMillis()));
    }

    private Assignment assign(
            AdmittedRequest request,
            EngineCostModel costs,
            PromptRequest prompt,
            EnginePlacement placement,
            IdentityHashMap<EngineCandidate, TargetRuntime> runtimes,
            long nowNanos) {
        lastNumber++;
        List<InstanceId> engineIds = new ArrayList<>();
        List<ForwardingOptions.Helper> helpers = new ArrayList<>();
        engineIds.add(placement.primary().id());
        List<TargetRuntime> helperRuntimes = new ArrayList<>();
        List<MemoryReservations.Reservation> reservations = new ArrayList<>();
        for (EngineCandidate helper : placement.helpers()) {
            TargetRuntime runtime = runtimes.get(helper);
            helperRuntimes.add(runtime);
            Optional<String> reservationId = Optional.empty();
            if (reservations.size() < placement.holderCount()) {
                String id = reservationPrefix + "-" + lastNumber + "-" + reservations.size();
                reservationId = Optional.of(id);
                reservations.add(new MemoryReservations.Reservation(runtime, id, placement.partTokens()));
            }
            engineIds.add(helper.id());
            helpers.add(new ForwardingOptions.Helper(runtime.instance().endpoint(), reservationId));
        }
        double decodeMillis = costs.decodeMillis(
                prompt.outputTokens(), placement.primary().backlog().decodingRequests() + 1);
        PlacementNotice notice = new PlacementNotice(
                lastNumber,
                engineIds,
                placement.prefillMillis(),
                placement.firstEventMillis(),
                placement.firstEventMillis() + decodeMillis,
                prompt.firstEventBudgetMillis(),
                prompt.callerTimeoutMillis(),
                prompt.maxPauseMillis(),
                prompt.weight(),
                placement.partTokens() + prompt.outputTokens(),
                placement.holderCount(),
                placement.partTokens());
        TargetRuntime target = runtimes.get(placement.primary());
        target.requestStarted();
        backlogs.started(EngineBacklogTracker.SELF, notice);
        peers.started(notice);
        MemoryReservations memoryReservations =
                new MemoryReservations(memory, loop, log, request.caller().id(), target, reservations, maxUnusedMemory);
        return new EngineAssignment(
                target,
                helperRuntimes,
                helpers,
                memoryReservations,
                notice,
                placement.primary().speedFactor(),
                nowNanos);
    }

    private Either<Failure, Assignment> refuse(
            ErrorKind kind, String message, Duration retryAfter, AdmittedRequest request, long nowNanos) {
        Failure.Builder failure = Failure.of(kind).message(message);
        if (retryAfter.isZero()) {
            return Either.left(failure.build());
        }
        List<TargetRuntime> engines = targets.of(request);
        return Either.left(failure.retryAfter(TargetPauses.retryDelay(retryAfter, request, engines, nowNanos))
                .build());
    }

    /** Assignment to an engine and its helpers, which counts in the backlogs until it is released. */
    private final class EngineAssignment implements Assignment {
        private final TargetRuntime target;
        private final List<TargetRuntime> helperRuntimes;
        private final List<ForwardingOptions.Helper> helpers;
        private final MemoryReservations reservations;
        private final PlacementNotice notice;
        private final double assumedSpeed;
        private final long placedNanos;
        private boolean hasResponseStarted;
        private boolean isReleased;

        EngineAssignment(
                TargetRuntime target,
                List<TargetRuntime> helperRuntimes,
                List<ForwardingOptions.Helper> helpers,
                MemoryReservations reservations,
                PlacementNotice notice,
                double assumedSpeed,
                long placedNanos) {
            this.target = target;
            this.helperRuntimes = List.copyOf(helperRuntimes);
            this.helpers = helpers;
            this.reservations = reservations;
            this.notice = notice;
            this.assumedSpeed = assumedSpeed;
            this.placedNanos = placedNanos;
        }

        @Override
        public void prepare(Consumer<Boolean> whenDone, Runnable whenUnresponsive) {
            reservations.reserve(whenDone, whenUnresponsive);
        }

        @Override
        public TargetRuntime target() {
            return target;
        }

        @Override
        public boolean isWithdrawn(long nowNanos) {
            return target.status(nowNanos).isWithdrawn()
                    || helperRuntimes.stream()
                            .anyMatch(helper -> helper.status(nowNanos).isWithdrawn());
        }

        @Override
        public List<ForwardingOptions.Helper> helpers() {
            return helpers;
        }

        @Override
        public double predictedMillis() {
            return notice.firstEventMillis();
        }

        @Override
        public double assumedSpeed() {
            return assumedSpeed;
        }

        @Override
        public void responseStarted() {
            hasResponseStarted = true;
            reservations.started();
        }

        @Override
        public void release() {
            if (isReleased) {
                return;
            }
            isReleased = true;
            target.requestEnded();
            reservations.release();
            double firstEventInMillis = notice.firstEventMillis() - (System.nanoTime() - placedNanos) / NANOS_PER_MILLI;
            double remainingPrefillMillis =
                    hasResponseStarted ? 0 : Math.max(0, Math.min(notice.prefillMillis(), firstEventInMillis));
            backlogs.ended(EngineBacklogTracker.SELF, notice.number(), remainingPrefillMillis);
            peers.ended(notice.number(), remainingPrefillMillis);
        }
    }
}
