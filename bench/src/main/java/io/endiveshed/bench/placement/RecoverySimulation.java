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
import io.endiveshed.coordination.pace.SlowStartCause;
import io.endiveshed.coordination.pace.SpeedReference;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Simulation in virtual time of entries that place prompts on engines which start, fail and recover. Each entry knows its
 * own placements at once and those of the others after the network delay, and judges a target by its own answers.
 */
final class RecoverySimulation {
    static final double END_MILLIS = 35_000;

    private static final double DRAIN_MILLIS = 8_000;
    private static final double TICK_MILLIS = 10;

    /** Time after which the list of targets shows that one has gone or has started. */
    private static final double LIST_DELAY_MILLIS = 1_000;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Random random;
    private final EngineCostModel costModel;
    private final RecoveryScenario scenario;
    private final RecoveryPolicy policy;
    private final EntryTopology topology;
    private final int targetCount;
    private final List<Target> targets = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Running> running = new ArrayList<>();
    private final PriorityQueue<Update> updates = new PriorityQueue<>(Comparator.comparingDouble(Update::atMillis));
    private final RecoveryResult result = new RecoveryResult((int) (END_MILLIS / 1000));
    private double nowMillis;
    private long lastNumber;

    RecoverySimulation(
            EngineCostModel costModel,
            int targetCount,
            EntryTopology topology,
            RecoveryScenario scenario,
            RecoveryPolicy policy,
            long seed) {
        this.costModel = costModel;
        this.targetCount = targetCount;
        this.topology = topology;
        this.scenario = scenario;
        this.policy = policy;
        this.random = new Random(seed);
        for (int i = 0; i < targetCount; i++) {
            targets.add(new Target(i));
        }
        for (int i = 0; i < topology.entries(); i++) {
            entries.add(new Entry(topology.domainOf(i)));
        }
    }

    /** Plays a load and returns its result. */
    RecoveryResult run(LoadMix load, double longSize) {
        Random arrivals = new Random(random.nextLong());
        double nextMillis = 0;
        while (nowMillis < END_MILLIS + DRAIN_MILLIS) {
            while (nextMillis < Math.min(nowMillis, END_MILLIS)) {
                PromptRequest request = mixAt(load, nextMillis).draw(arrivals, longSize);
                entries.get(arrivals.nextInt(entries.size())).place(request, nextMillis, List.of());
                double perSecond = mixAt(load, nextMillis).promptsPerSecond();
                nextMillis += -Math.log(1 - arrivals.nextDouble()) * 1000 / perSecond;
            }
            nowMillis += TICK_MILLIS;
            tick();
        }
        return result;
    }

    private LoadMix mixAt(LoadMix load, double millis) {
        boolean isFirstAfterReturn =
                millis >= RecoveryScenario.RETURN_MILLIS && millis < RecoveryScenario.RETURN_MILLIS + 5_000;
        double factor = scenario.loadFactor();
        return new LoadMix(
                load.shortPrompts() * factor,
                load.mediumPrompts() * factor,
                load.longPrompts() * factor * (isFirstAfterReturn ? scenario.longFactorAtReturn() : 1));
    }

    private long nowNanos() {
        return nanos(nowMillis);
    }

    private static long nanos(double millis) {
        return (long) ((millis + 1) * NANOS_PER_MILLI);
    }

    private void tick() {
        while (!updates.isEmpty() && updates.peek().atMillis <= nowMillis) {
            updates.poll().action.run();
        }
        List.copyOf(running).forEach(Running::observe);
        targets.forEach(Target::advance);
    }

    /** Applies an update to the knowledge of one entry at once, and to that of the others after the network delay. */
    private void tell(Entry from, Consumer<Entry> update) {
        for (Entry entry : entries) {
            if (entry == from) {
                update.accept(entry);
            } else {
                double delayMillis = topology.delayMillis(from.domain, entry.domain);
                updates.add(new Update(nowMillis + delayMillis, () -> update.accept(entry)));
            }
        }
    }

    private record Update(double atMillis, Runnable action) {}

    /** An engine, as it is. */
    private final class Target {
        private final int index;
        private final boolean isAffected;
        private SimulatedEngine engine;
        private boolean isDown;
        private boolean isListed = true;
        private int incarnation;

        Target(int index) {
            this.index = index;
            this.isAffected = scenario.affected().contains(index, topology.domains(), targetCount);
            this.isDown = isDownAt(0);
            this.isListed = !isDown;
            this.engine = newEngine();
        }

        private boolean isDownAt(double millis) {
            return isAffected && scenario.outages().isDown(index, millis);
        }

        private double slowdown(double millis) {
            return isAffected ? scenario.slowdown(index, millis) : 1;
        }

        private SimulatedEngine newEngine() {
            SimulatedEngine created = new SimulatedEngine(costModel, this::slowdown);
            created.runUntil(nowMillis);
            return created;
        }

        void advance() {
            if (isDown != isDownAt(nowMillis)) {
                isDown = !isDown;
                if (isDown && scenario.isDrained()) {
                    isListed = false;
                } else if (isDown || scenario.isDrained()) {
                    List.copyOf(running).stream()
                            .filter(request -> request.targets.contains(this))
                            .forEach(Running::breakOff);
                }
                if (!isDown) {
                    engine = newEngine();
                }
                boolean isUp = !isDown;
                if (!scenario.isListedWhileDown()) {
                    updates.add(new Update(nowMillis + LIST_DELAY_MILLIS, () -> list(isUp)));
                }
            }
            engine.runUntil(nowMillis);
            long open = running.stream()
                    .filter(request -> request.targets.get(0) == this)
                    .count();
            if (isAffected && !isDown) {
                result.recordOpen(nowMillis, open * slowdown(nowMillis) / costModel.slots());
            }
        }

        private void list(boolean isUp) {
            isListed = isUp;
            if (isUp) {
                incarnation++;
                entries.forEach(entry -> entry.views.set(index, entry.view(this, true)));
            }
        }
    }

    /** A request on its targets. */
    private final class Running {
        private final Entry entry;
        private final SimulatedStream stream;
        private final List<Target> targets;
        private final RecoveryView view;
        private final EnginePlacement placement;
        private final long number;
        private final double placedMillis;
        private boolean hasStarted;

        Running(
                Entry entry,
                SimulatedStream stream,
                List<Target> targets,
                RecoveryView view,
                EnginePlacement placement,
                long number) {
            this.entry = entry;
            this.stream = stream;
            this.targets = targets;
            this.view = view;
            this.placement = placement;
            this.number = number;
            this.placedMillis = nowMillis;
        }

        void observe() {
            if (!hasStarted && stream.lastEventMillis() >= 0 && stream.lastEventMillis() <= nowMillis) {
                hasStarted = true;
                if (targets.get(0).isAffected && random.nextDouble() < scenario.failureShare()) {
                    breakOff();
                    return;
                }
                view.answered(placement, stream.lastEventMillis() - placedMillis, nanos(placedMillis), nowNanos());
            }
            if (stream.isAbandoned(nowMillis)) {
                view.abandoned(nanos(placedMillis), nowNanos());
                end(false, false);
            } else if (stream.isComplete() && stream.lastEventMillis() <= nowMillis) {
                view.succeeded();
                end(stream.isOnTime(), false);
            }
        }

        void breakOff() {
            view.failed(nanos(placedMillis), nowNanos());
            end(false, true);
        }

        private void end(boolean isOnTime, boolean isBroken) {
            running.remove(this);
            targets.forEach(target -> target.engine.cancel(stream));
            result.recordEnd(targets.get(0).isAffected, placedMillis, isOnTime, isBroken);
            tell(entry, knowing -> knowing.ended(number, knowing != entry));
        }
    }

    /** What one entry knows. */
    private final class Entry {
        private final int domain;
        private final List<RecoveryView> views = new ArrayList<>();
        private final LongPrefillDemand demand = new LongPrefillDemand(RecoverySimulation.this::nowNanos);
        private final SpeedReference reference = new SpeedReference();

        Entry(int domain) {
            this.domain = domain;
            targets.forEach(target -> views.add(view(target, false)));
        }

        private RecoveryView view(Target target, boolean hasStarted) {
            int targetDomain = topology.domainOf(target.index);
            EngineCandidate candidate = new EngineCandidate(
                    new InstanceId("engine-" + target.index),
                    new FailureDomain("domain-" + targetDomain),
                    targetDomain != domain,
                    costModel.slots(),
                    new EngineBacklog(),
                    true,
                    topology.delayMillis(domain, targetDomain));
            RecoveryView view = new RecoveryView(target.index, target.incarnation, candidate, policy, reference);
            if (hasStarted) {
                view.begin(SlowStartCause.STARTED, nowNanos());
            }
            return view;
        }

        void place(PromptRequest request, double arrivedMillis, List<RecoveryView> excluded) {
            List<RecoveryView> usable = views.stream()
                    .filter(view -> targets.get(view.index()).isListed && !excluded.contains(view))
                    .filter(view -> !view.isBackingOff(nowNanos()))
                    .toList();
            List<RecoveryView> open =
                    usable.stream().filter(view -> view.isOpen(nowNanos())).toList();
            IdentityHashMap<EngineCandidate, RecoveryView> viewsByCandidate = new IdentityHashMap<>();
            EnginePlacement placement = placement(request, open, viewsByCandidate);
            if (open.isEmpty() && policy.yields) {
                placement = placement(request, usable, viewsByCandidate);
            }
            if (placement == null) {
                result.recordRefused(arrivedMillis);
                return;
            }
            List<RecoveryView> chosen = new ArrayList<>(List.of(viewsByCandidate.get(placement.primary())));
            placement.helpers().forEach(helper -> chosen.add(viewsByCandidate.get(helper)));
            for (RecoveryView view : chosen) {
                if (targets.get(view.index()).isDown) {
                    view.noResponse(nowNanos());
                    List<RecoveryView> excludedNow = new ArrayList<>(excluded);
                    excludedNow.add(view);
                    place(request, arrivedMillis, excludedNow);
                    return;
                }
            }
            start(request, arrivedMillis, placement, chosen);
        }

        private EnginePlacement placement(
                PromptRequest request,
                List<RecoveryView> eligible,
                IdentityHashMap<EngineCandidate, RecoveryView> viewsByCandidate) {
            List<EngineCandidate> candidates = new ArrayList<>();
            for (RecoveryView view : eligible) {
                EngineCandidate candidate = view.candidate(nowNanos());
                viewsByCandidate.put(candidate, view);
                candidates.add(candidate);
            }
            return candidates.isEmpty()
                    ? null
                    : new EnginePlacer()
                            .place(costModel, request, candidates, demand.share(candidates.size()), nowNanos())
                            .getOrElse((EnginePlacement) null);
        }

        private void start(
                PromptRequest request, double arrivedMillis, EnginePlacement placement, List<RecoveryView> chosen) {
            int events = (int) Math.max(1, request.outputTokens() / costModel.stepsPerPass());
            SimulatedStream stream = new SimulatedStream(arrivedMillis, request, events);
            long number = ++lastNumber;
            List<Target> on =
                    chosen.stream().map(view -> targets.get(view.index())).toList();
            running.add(new Running(this, stream, on, chosen.get(0), placement, number));
            result.recordPlaced(nowMillis, on.get(0).isAffected);
            for (Target target : on) {
                long tokens = request.promptTokens() / on.size();
                target.engine.addPrefill(stream, tokens, placement.prefillMillis(), on.size() > 1);
            }
            on.get(0).engine.addDecoding(stream);
            int[] incarnations =
                    on.stream().mapToInt(target -> target.incarnation).toArray();
            tell(this, knowing -> knowing.started(number, request, placement, on, incarnations, knowing == this));
        }

        private void started(
                long number,
                PromptRequest request,
                EnginePlacement placement,
                List<Target> on,
                int[] incarnations,
                boolean isOwn) {
            if (EnginePlacer.isLongPrompt(request.maxPauseMillis())) {
                demand.add(placement.prefillMillis() * on.size());
            }
            for (int i = 0; i < on.size(); i++) {
                RecoveryView view = views.get(on.get(i).index);
                if (view.incarnation() != incarnations[i]) {
                    continue;
                }
                long firstEvent = nanos(nowMillis + placement.firstEventMillis());
                EngineTask task = new EngineTask(
                        isOwn ? 0 : 1,
                        number,
                        firstEvent,
                        firstEvent + (long) (costModel.decodeMillis(request.outputTokens(), 4) * NANOS_PER_MILLI),
                        nanos(nowMillis + request.firstEventBudgetMillis()),
                        nanos(nowMillis + request.callerTimeoutMillis()),
                        request.maxPauseMillis(),
                        request.weight(),
                        request.promptTokens(),
                        i == 0);
                view.backlog().add(task, placement.prefillMillis(), on.size() > 1, nowNanos());
            }
        }

        private void ended(long number, boolean isOther) {
            for (RecoveryView view : views) {
                view.ended(number, isOther, nowNanos());
            }
        }
    }
}
