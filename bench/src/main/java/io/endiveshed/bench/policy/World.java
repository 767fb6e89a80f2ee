package io.endiveshed.bench.policy;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.Region;
import io.endiveshed.base.id.RequestId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.coordination.membership.TargetLoad;
import io.endiveshed.coordination.membership.TargetState;
import io.endiveshed.coordination.membership.TargetView;
import io.endiveshed.coordination.routing.WorkReport;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/** One run: entries, runners and callers in virtual time. */
final class World {
    /** Requests that arrive earlier are not measured. */
    static final long WARM_UP = 40 * Units.SECOND;

    private static final long DRAIN = 150 * Units.SECOND;
    private static final long REPORT_INTERVAL = 500 * Units.MILLI;
    private static final int DOMAINS = 3;
    private static final int ENTRIES = 3;
    private static final int MAX_CALLER_ATTEMPTS = 4;
    private static final long IMPATIENT_PAUSE = 100 * Units.MILLI;
    /** Time after a lost entry's links close until sidecars cancel its work. */
    private static final long ORPHAN_TIME = 5 * Units.SECOND;

    private final Policy policy;
    private final Scenario scenario;
    private final EngineSpec engine = EngineSpec.DEFAULT;
    private final EventLoop loop = new EventLoop();
    private final Random workloadRandom;
    private final Random callerRandom;
    private final Random policyRandom;
    private final Network network;
    private final Workload workload;
    private final double ratePerNano;
    private final long end;
    private final List<FakeEntry> entries = new ArrayList<>();
    private final Map<TargetId, FakeSidecar> sidecars = new LinkedHashMap<>();
    private final List<SimRequest> requests = new ArrayList<>();
    private final Map<SimRequest, SimRequest.Shape> shapes = new LinkedHashMap<>();
    private int created;

    World(Policy policy, Scenario scenario, int runners, int seconds, long seed) {
        this.policy = policy;
        this.scenario = scenario;
        this.workloadRandom = new Random(seed);
        this.callerRandom = new Random(seed + 1);
        this.policyRandom = new Random(seed + 2);
        this.network = new Network(loop, new Random(seed + 3));
        this.workload = new Workload(workloadRandom);
        this.ratePerNano = scenario.load() * runners / Workload.meanWorkNanos(engine);
        this.end = WARM_UP + seconds * Units.SECOND;
        for (int i = 0; i < ENTRIES; i++) {
            addEntry(i);
        }
        for (int i = 0; i < runners; i++) {
            addRunner("runner-" + i, domain(i));
        }
    }

    EventLoop loop() {
        return loop;
    }

    /** Runs to the end and returns the figures. */
    Figures run() {
        scheduleArrival();
        loop.after(WARM_UP + (end - WARM_UP) / 3, () -> Faults.inject(scenario.fault(), this));
        loop.runUntil(end + DRAIN);
        return new Figures(requests, WARM_UP, end);
    }

    /** Delivers a message to a sidecar, if it still runs. */
    void send(FakeEntry from, TargetId to, Consumer<FakeSidecar> message) {
        FakeSidecar sidecar = sidecars.get(to);
        network.send(from.domain(), sidecar.domain(), () -> message.accept(sidecar));
    }

    /** Notes the end of a request; a caller may repeat it. */
    void ended(SimRequest request, SimRequest.End how, Duration retryAfter) {
        if (!request.isOpen()) {
            return;
        }
        request.end = how;
        request.finishedNanos = loop.now();
        boolean failed = how == SimRequest.End.REFUSED || how == SimRequest.End.LATE || how == SimRequest.End.FAILED;
        SimRequest.Shape shape = shapes.remove(request);
        if (scenario.callersRetry() && failed && request.callerAttempt < MAX_CALLER_ATTEMPTS) {
            boolean obeys = callerRandom.nextBoolean();
            long pause = obeys ? retryAfter.toNanos() : IMPATIENT_PAUSE;
            loop.after(pause, () -> arrive(shape, request.callerAttempt + 1));
        }
    }

    List<FakeSidecar> sidecars() {
        return List.copyOf(sidecars.values());
    }

    List<FakeEntry> entries() {
        return List.copyOf(entries);
    }

    /** Stops a runner; its links close at once or, if its machine is cut off, are given up after silence. */
    void stopRunner(FakeSidecar sidecar, boolean cutOff) {
        sidecar.stop();
        if (cutOff) {
            loop.after(2 * Units.SECOND, () -> entries.forEach(entry -> entry.suspect(sidecar.id())));
            loop.after(5 * Units.SECOND, () -> entries.forEach(entry -> entry.gone(sidecar.id())));
        } else {
            loop.after(5 * Units.MILLI, () -> entries.forEach(entry -> entry.gone(sidecar.id())));
        }
    }

    /** Starts a new incarnation of a runner. */
    void restartRunner(FakeSidecar old) {
        addRunner(old.id().instance().value(), old.domain());
    }

    void replaceEntry(int index) {
        FakeEntry old = entries.get(index);
        old.stop();
        addEntry(index);
        loop.after(ORPHAN_TIME, () -> sidecars.values().forEach(sidecar -> sidecar.cancelAllOf(old)));
    }

    static FailureDomain domain(int index) {
        return new FailureDomain("domain-" + index % DOMAINS);
    }

    private void addEntry(int index) {
        FailureDomain domain = domain(index);
        EntryPolicy decisions = policy.entry(domain, loop, policyRandom);
        FakeEntry entry = new FakeEntry(new InstanceId("entry-" + created++), domain, decisions, this);
        if (index < entries.size()) {
            entries.set(index, entry);
        } else {
            entries.add(entry);
        }
        sidecars.values().forEach(sidecar -> report(sidecar, entry, 0));
    }

    private void addRunner(String instance, FailureDomain domain) {
        TargetId id = new TargetId(new InstanceId(instance), new Incarnation(created++));
        FakeSidecar sidecar = new FakeSidecar(id, domain, policy.queue(engine, loop), engine, loop, network);
        sidecars.put(id, sidecar);
        entries.forEach(entry -> report(sidecar, entry, 0));
        long phase = (long) (policyRandom.nextDouble() * REPORT_INTERVAL);
        loop.after(
                phase,
                () -> loop.every(
                        REPORT_INTERVAL,
                        () -> entries.forEach(entry -> report(sidecar, entry, scenario.reportDelayNanos()))));
    }

    private void report(FakeSidecar sidecar, FakeEntry entry, long delay) {
        if (sidecar.isStopped()) {
            return;
        }
        WorkReport report = sidecar.report(entry);
        loop.after(
                delay,
                () -> network.send(sidecar.domain(), entry.domain(), () -> {
                    if (!sidecar.isStopped()) {
                        entry.reported(view(sidecar), report);
                    }
                }));
    }

    private TargetView view(FakeSidecar sidecar) {
        return new TargetView(
                sidecar.id(),
                TargetKind.ENGINE,
                List.of(FakeEntry.MODEL),
                new Region("region"),
                sidecar.domain(),
                engine.kvTokens(),
                TargetState.LIVE,
                TargetLoad.NONE);
    }

    private void scheduleArrival() {
        double rate = ratePerNano * Workload.burst(loop.now());
        long gap = Math.round(-Math.log(1 - workloadRandom.nextDouble()) / rate);
        // A rate change within a long gap is ignored; gaps are tens of milliseconds, phases are seconds.
        loop.after(gap, () -> {
            if (loop.now() < end) {
                arrive(workload.next(), 1);
                scheduleArrival();
            }
        });
    }

    private void arrive(SimRequest.Shape shape, int callerAttempt) {
        RequestId id = new RequestId(callerAttempt, requests.size());
        SimRequest request = new SimRequest(id, shape, loop.now(), callerAttempt, engine);
        requests.add(request);
        shapes.put(request, shape);
        FakeEntry entry = entries.get(callerRandom.nextInt(entries.size()));
        entry.receive(request);
    }
}
