package io.endiveshed.bench.placement;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.engine.EngineBacklog;
import io.endiveshed.coordination.engine.EngineCandidate;
import io.endiveshed.coordination.engine.EngineCostModel;
import io.endiveshed.coordination.engine.EnginePlacement;
import io.endiveshed.coordination.engine.EnginePlacer;
import io.endiveshed.coordination.engine.EngineTask;
import io.endiveshed.coordination.engine.LongPrefillDemand;
import io.endiveshed.coordination.engine.PromptRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Simulation of a load of mostly short prompts for ten seconds, mostly long ones for ten seconds, then mostly short
 * ones again. Nothing fails, so that the result depends on the placement alone. Each prompt arrives at one entry, which
 * places it by what it knows; with several entries that knowledge is as old as the network delay between them.
 */
final class AlternatingLoadSimulation {
    private static final double PHASE_MILLIS = 10_000;
    private static final int PHASES = 3;
    private static final double DRAIN_MILLIS = 20_000;

    /** Share of the weight of a request that counts if its answer is late. */
    private static final double LATE_VALUE_SHARE = 0.25;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Random random;
    private final EngineCostModel costModel;
    private final List<SimulatedEngine> simulatedEngines = new ArrayList<>();
    private final EntryTopology topology;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final Map<InstanceId, SimulatedEngine> enginesById = new HashMap<>();
    private final PriorityQueue<DelayedUpdate> delayedUpdates =
            new PriorityQueue<>(Comparator.comparingDouble(DelayedUpdate::atMillis));
    private final List<SimulatedStream> streams = new ArrayList<>();
    private final List<RunningRequest> runningRequests = new ArrayList<>();
    private final List<PromptRequest> refused = new ArrayList<>();
    private long nowNanos = NANOS_PER_MILLI;
    private long lastRequestNumber;

    AlternatingLoadSimulation(EngineCostModel costModel, int engineCount, EntryTopology topology, long seed) {
        this.costModel = costModel;
        this.topology = topology;
        this.random = new Random(seed);
        for (int i = 0; i < engineCount; i++) {
            SimulatedEngine engine = new SimulatedEngine(costModel);
            simulatedEngines.add(engine);
            enginesById.put(engineId(i), engine);
        }
        for (int i = 0; i < topology.entries(); i++) {
            entries.add(new SimulatedEntry(topology.domainOf(i), engineCount));
        }
    }

    private static InstanceId engineId(int index) {
        return new InstanceId("engine-" + index);
    }

    /**
     * Runs the simulation and returns its result.
     *
     * @param policy policy that chooses the engines
     * @param shortPhase arrivals in the first and third phase
     * @param longPhase arrivals in the second phase
     * @param longSize factor on the size of long prompts
     */
    PlacementResult run(PlacementPolicy policy, LoadMix shortPhase, LoadMix longPhase, double longSize) {
        double nowMillis = 0;
        while (nowMillis < PHASES * PHASE_MILLIS) {
            LoadMix mix = (int) (nowMillis / PHASE_MILLIS) % 2 == 0 ? shortPhase : longPhase;
            nowMillis += -Math.log(1 - random.nextDouble()) * 1000 / mix.promptsPerSecond();
            advanceTo(nowMillis);
            PromptRequest request = mix.draw(random, longSize);
            SimulatedEntry entry = entries.get(entries.size() == 1 ? 0 : random.nextInt(entries.size()));
            place(policy, entry, request, nowMillis);
        }
        advanceTo(PHASES * PHASE_MILLIS + DRAIN_MILLIS);
        return result();
    }

    private void advanceTo(double nowMillis) {
        simulatedEngines.forEach(engine -> engine.runUntil(nowMillis));
        while (!delayedUpdates.isEmpty() && delayedUpdates.peek().atMillis <= nowMillis) {
            DelayedUpdate update = delayedUpdates.poll();
            nowNanos = nanos(update.atMillis);
            update.action.run();
        }
        nowNanos = nanos(nowMillis);
        for (Iterator<RunningRequest> iterator = runningRequests.iterator(); iterator.hasNext(); ) {
            RunningRequest running = iterator.next();
            boolean isAbandoned = running.stream.isAbandoned(nowMillis);
            if (isAbandoned) {
                simulatedEngines.forEach(engine -> engine.cancel(running.stream));
            }
            if (isAbandoned || running.stream.isComplete()) {
                tellEntries(running.entry, nowMillis, entry -> entry.remove(running.number));
                iterator.remove();
            }
        }
    }

    private static long nanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI) + NANOS_PER_MILLI;
    }

    /** Applies an update to the knowledge of one entry at once, and to that of the others after the network delay. */
    private void tellEntries(SimulatedEntry from, double nowMillis, Consumer<SimulatedEntry> update) {
        for (SimulatedEntry entry : entries) {
            if (entry == from) {
                update.accept(entry);
            } else {
                double delayMillis = topology.delayMillis(from.domain, entry.domain);
                delayedUpdates.add(new DelayedUpdate(nowMillis + delayMillis, () -> update.accept(entry)));
            }
        }
    }

    private void place(PlacementPolicy policy, SimulatedEntry entry, PromptRequest request, double nowMillis) {
        Optional<EnginePlacement> placed = policy.place(
                costModel, request, entry.candidates, entry.demand.share(entry.candidates.size()), nowNanos);
        if (placed.isEmpty()) {
            refused.add(request);
            return;
        }
        EnginePlacement placement = placed.get();
        int events = (int) Math.max(1, request.outputTokens() / costModel.stepsPerPass());
        SimulatedStream stream = new SimulatedStream(nowMillis, request, events);
        lastRequestNumber++;
        streams.add(stream);
        long number = lastRequestNumber;
        runningRequests.add(new RunningRequest(entry, stream, number));
        tellEntries(entry, nowMillis, knowing -> knowing.add(number, placement, request));
        int partCount = 1 + placement.helpers().size();
        SimulatedEngine primary = enginesById.get(placement.primary().id());
        primary.addPrefill(stream, request.promptTokens() / partCount, placement.prefillMillis(), partCount > 1);
        primary.addDecoding(stream);
        placement
                .helpers()
                .forEach(helper -> enginesById
                        .get(helper.id())
                        .addPrefill(stream, request.promptTokens() / partCount, placement.prefillMillis(), true));
    }

    private PlacementResult result() {
        double earnedWeight = 0;
        double totalWeight = refused.stream().mapToDouble(PromptRequest::weight).sum();
        for (SimulatedStream stream : streams) {
            double weight = stream.request().weight();
            totalWeight += weight;
            if (stream.isComplete()) {
                earnedWeight += stream.isOnTime() ? weight : LATE_VALUE_SHARE * weight;
            }
        }
        return new PlacementResult(
                earnedWeight / totalWeight,
                onTimeShare(0, 400),
                onTimeShare(400, 800),
                onTimeShare(800, Double.MAX_VALUE),
                (double) refused.size() / (refused.size() + streams.size()));
    }

    /** Returns the share of prompts on time among those with a maximum pause in the given range, in milliseconds. */
    private double onTimeShare(double above, double upTo) {
        long placedCount = streams.stream()
                .filter(stream -> isWithin(stream.request(), above, upTo))
                .count();
        long refusedCount = refused.stream()
                .filter(request -> isWithin(request, above, upTo))
                .count();
        long onTimeCount = streams.stream()
                .filter(stream -> isWithin(stream.request(), above, upTo) && stream.isOnTime())
                .count();
        return (double) onTimeCount / Math.max(1, placedCount + refusedCount);
    }

    private static boolean isWithin(PromptRequest request, double above, double upTo) {
        return request.maxPauseMillis() > above && request.maxPauseMillis() <= upTo;
    }

    private record RunningRequest(SimulatedEntry entry, SimulatedStream stream, long number) {}

    /** A change of what one entry knows, at a moment in virtual time. */
    private record DelayedUpdate(double atMillis, Runnable action) {}

    /** What one entry knows of the work on the engines. */
    private final class SimulatedEntry {
        private final int domain;
        private final List<EngineCandidate> candidates = new ArrayList<>();
        private final Map<InstanceId, EngineCandidate> candidatesById = new HashMap<>();
        private final LongPrefillDemand demand = new LongPrefillDemand(() -> nowNanos);

        SimulatedEntry(int domain, int engineCount) {
            this.domain = domain;
            for (int i = 0; i < engineCount; i++) {
                int engineDomain = topology.domainOf(i);
                EngineCandidate candidate = new EngineCandidate(
                        engineId(i),
                        new FailureDomain("domain-" + engineDomain),
                        engineDomain != domain,
                        costModel.slots(),
                        new EngineBacklog(),
                        true,
                        topology.delayMillis(domain, engineDomain));
                candidates.add(candidate);
                candidatesById.put(candidate.id(), candidate);
            }
        }

        void add(long number, EnginePlacement placement, PromptRequest request) {
            if (EnginePlacer.isLongPrompt(request.maxPauseMillis())) {
                demand.add(placement.prefillMillis() * (1 + placement.helpers().size()));
            }
            addTask(number, placement.primary(), placement, request, true);
            placement.helpers().forEach(helper -> addTask(number, helper, placement, request, false));
        }

        void remove(long number) {
            candidates.forEach(engine -> engine.backlog().remove(0, number, 0, nowNanos));
        }

        private void addTask(
                long number,
                EngineCandidate engine,
                EnginePlacement placement,
                PromptRequest request,
                boolean isWriter) {
            long firstEventNanos = nowNanos + (long) (placement.firstEventMillis() * NANOS_PER_MILLI);
            long endNanos =
                    firstEventNanos + (long) (costModel.decodeMillis(request.outputTokens(), 4) * NANOS_PER_MILLI);
            EngineTask task = new EngineTask(
                    0,
                    number,
                    firstEventNanos,
                    endNanos,
                    nowNanos + (long) (request.firstEventBudgetMillis() * NANOS_PER_MILLI),
                    nowNanos + (long) (request.callerTimeoutMillis() * NANOS_PER_MILLI),
                    request.maxPauseMillis(),
                    request.weight(),
                    request.promptTokens(),
                    isWriter);
            boolean isDivided = !placement.helpers().isEmpty();
            candidatesById.get(engine.id()).backlog().add(task, placement.prefillMillis(), isDivided, nowNanos);
        }
    }
}
