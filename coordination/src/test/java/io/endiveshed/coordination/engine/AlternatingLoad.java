package io.endiveshed.coordination.engine;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.engine.EngineSimulation.Stream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Short prompts for ten seconds, then long ones for ten seconds, then short ones again, on simulated engines. */
final class AlternatingLoad {
    private static final long SEED = 20_261_204;
    private static final double PHASE_MILLIS = 10_000;
    private static final int PHASES = 3;
    private static final double DRAIN_MILLIS = 20_000;

    /** Share of its weight that a late answer is worth to its caller. */
    private static final double LATE_SHARE = 0.25;

    private static final long MILLI = 1_000_000L;
    private static final Mix SHORT_PHASE = new Mix(75, 0.8, 0.04);
    private static final Mix LONG_PHASE = new Mix(10, 2.1, 2.1);

    private final Random random;
    private final EngineProfile profile;
    private final List<EngineSimulation> simulations = new ArrayList<>();
    private final List<EngineCandidate> candidates = new ArrayList<>();
    private final List<Stream> streams = new ArrayList<>();
    private final List<Running> running = new ArrayList<>();
    private final EnginePlacer placer = new EnginePlacer();
    private long nowNanos = MILLI;
    private final LongReadDemand demand = new LongReadDemand(() -> nowNanos);
    private double lost;
    private long number;

    AlternatingLoad(EngineProfile profile, int engines) {
        this(profile, engines, SEED);
    }

    AlternatingLoad(EngineProfile profile, int engines, long seed) {
        this.profile = profile;
        this.random = new Random(seed);
        for (int i = 0; i < engines; i++) {
            simulations.add(new EngineSimulation(profile));
            candidates.add(new EngineCandidate(new InstanceId("engine-" + i), profile.slots(), new EngineLoad(), 0));
        }
    }

    /**
     * Returns what callers get, by the placer or by the least loaded engine: the share of their weight that is on time,
     * and a quarter of what is late. Callers that wait too long for the first event leave.
     */
    double play(boolean byPlacer) {
        double now = 0;
        while (now < PHASES * PHASE_MILLIS) {
            boolean shortPhase = (int) (now / PHASE_MILLIS) % 2 == 0;
            Mix mix = shortPhase ? SHORT_PHASE : LONG_PHASE;
            now += -Math.log(1 - random.nextDouble()) * 1000 / mix.perSecond();
            advance(now);
            place(prompt(random.nextDouble() * mix.perSecond(), mix), now, byPlacer);
        }
        advance(PHASES * PHASE_MILLIS + DRAIN_MILLIS);
        double onTime = 0;
        double all = lost;
        for (Stream stream : streams) {
            all += stream.weight;
            if (stream.eventsLeft() <= 0) {
                onTime += stream.isOnTime() ? stream.weight : LATE_SHARE * stream.weight;
            }
        }
        return onTime / all;
    }

    private void advance(double now) {
        simulations.forEach(engine -> engine.runTo(now));
        nowNanos = (long) (now * MILLI) + MILLI;
        running.removeIf(run -> {
            boolean left = run.stream.isAbandoned(now);
            if (left) {
                simulations.forEach(engine -> engine.cancel(run.stream));
            }
            if (left || run.stream.eventsLeft() <= 0) {
                candidates.forEach(candidate -> candidate.load().remove(0, run.number, 0, nowNanos));
                return true;
            }
            return false;
        });
    }

    private void place(PromptRequest request, double now, boolean byPlacer) {
        int events = (int) Math.max(1, request.outputTokens() / profile.stride());
        Stream stream = new Stream(now, request, events);
        Placement placement = byPlacer
                ? placer.place(profile, request, candidates, demand.share(candidates.size()), nowNanos)
                        .getOrNull()
                : leastLoaded(request);
        if (placement == null) {
            lost += request.weight();
            return;
        }
        number++;
        streams.add(stream);
        running.add(new Running(stream, number));
        int parts = 1 + placement.helpers().size();
        if (EnginePlacer.isLong(request.maxPauseMillis())) {
            demand.add(placement.readMillis() * parts);
        }
        add(placement.first(), placement, request, stream, true, parts);
        simulations.get(candidates.indexOf(placement.first())).write(stream);
        placement.helpers().forEach(helper -> add(helper, placement, request, stream, false, parts));
    }

    private void add(
            EngineCandidate engine,
            Placement placement,
            PromptRequest request,
            Stream stream,
            boolean writer,
            int parts) {
        long first = nowNanos + (long) (placement.firstEventMillis() * MILLI);
        long end = first + (long) (profile.writeMillis(request.outputTokens(), 4) * MILLI);
        long limit = nowNanos + (long) (request.firstEventMillis() * MILLI);
        engine.load()
                .add(
                        new EngineWork(
                                0,
                                number,
                                first,
                                end,
                                limit,
                                nowNanos + (long) (request.abandonMillis() * MILLI),
                                request.maxPauseMillis(),
                                request.weight(),
                                request.promptTokens(),
                                writer),
                        placement.readMillis(),
                        parts > 1,
                        nowNanos);
        simulations
                .get(candidates.indexOf(engine))
                .read(stream, request.promptTokens() / parts, placement.readMillis(), parts > 1);
    }

    private Placement leastLoaded(PromptRequest request) {
        EngineCandidate least = candidates.get(0);
        for (EngineCandidate candidate : candidates) {
            if (candidate.load().writers() < least.load().writers()) {
                least = candidate;
            }
        }
        double read = profile.readMillis(request.promptTokens());
        return new Placement(least, List.of(), 0, request.promptTokens(), read, read, 0);
    }

    private PromptRequest prompt(double kind, Mix mix) {
        if (kind < mix.longest()) {
            return longPrompt();
        }
        return kind < mix.longest() + mix.medium() ? mediumPrompt() : shortPrompt();
    }

    private PromptRequest mediumPrompt() {
        return new PromptRequest(tokens(40_000, 0.5, 110_000), tokens(700, 0.6, 1_900), 1_500, 6_000, 600);
    }

    private PromptRequest shortPrompt() {
        return new PromptRequest(tokens(4_000, 0.8, 23_000), tokens(1_100, 0.6, 3_200), 300, 2_000, 250);
    }

    private PromptRequest longPrompt() {
        return new PromptRequest(tokens(155_000, 0.55, 900_000), tokens(600, 0.5, 1_600), 3_000, 12_000, 1_000);
    }

    private long tokens(double median, double spread, long most) {
        return Math.min(most, (long) (median * Math.exp(spread * random.nextGaussian())));
    }

    /** Arrivals in a second of short, medium and the longest prompts. */
    private record Mix(double brief, double medium, double longest) {
        double perSecond() {
            return brief + medium + longest;
        }
    }

    private record Running(Stream stream, long number) {}
}
