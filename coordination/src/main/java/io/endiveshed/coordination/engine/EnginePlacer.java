package io.endiveshed.coordination.engine;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Places prompts so that callers lose least, counting the prompt itself and all that it delays.
 *
 * <p>Answers the load in which short and long prompts alternate between scarce and dominant within seconds: a long
 * prompt that is read in one pass with short streams makes all of them pause, and a short prompt behind a long one is
 * late. Short prompts are packed on engines that already write short streams, taken from one end of a common order;
 * long prompts are divided among as few idle engines as meet their objective, taken from the other end. The boundary
 * moves with the load and needs no agreement.
 *
 * <pre>{@code
 * Either<Long, Placement> placed = placer.place(profile, request, candidates, nowNanos);
 * }</pre>
 */
public final class EnginePlacer {
    /** Most engines that may help one request; the engines' own limit. */
    private static final int MAX_HELPERS = 16;

    /** Share of a late answer's worth that is lost; a late answer still serves the caller a little. */
    private static final double LATE_LOSS = 0.75;

    /** Width of the uncertainty of a predicted first event, as a share of its objective. */
    private static final double FIRST_EVENT_SPREAD = 0.07;

    /** Width of the uncertainty of a predicted pause, as a share of its limit. */
    private static final double PAUSE_SPREAD = 0.06;

    /** Part of a limit that is kept free for delays of the network and of processes. */
    private static final double MARGIN = 0.06;

    /** Prompts whose streams allow no longer pause are packed; this divides short from long prompts. */
    private static final double SHORT_PAUSE_MILLIS = 400;

    /** Cost of a short stream on an engine that has none, as a share of its weight: the engine is lost to long prompts. */
    private static final double OPENING_COST = 0.10;

    /** Cost of the last place in the common order against the first, as a share of the prompt's weight. */
    private static final double ORDER_COST = 0.04;

    /** Cost of each further engine of a divided prompt, as a share of its weight. */
    private static final double HELPER_COST = 0.004;

    /** Cost of a millisecond of waiting on an engine that is read-busy, as a share of the weight for each second. */
    private static final double WAIT_COST_PER_SECOND = 0.05;

    /** Part of an engine's memory that may be planned; the rest is for outputs longer than expected. */
    private static final double MEMORY_SHARE = 0.95;

    /** Slots of an engine that are kept free for requests placed at the same moment by other entries. */
    private static final int SPARE_SLOTS = 0;

    /** Part of the time until a caller gives up that a prediction may use. */
    private static final double ABANDON_SHARE = 0.9;

    /** Least wait that a refused caller is told, in milliseconds. */
    private static final long MIN_RETRY_MILLIS = 100;

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Places a prompt.
     *
     * @param profile cost model of the engines
     * @param request the prompt
     * @param candidates engines in the common order; not empty
     * @param nowNanos the present
     * @return the placement; on the left, after how many milliseconds a refused caller may ask again
     */
    public Either<Long, Placement> place(
            EngineProfile profile, PromptRequest request, List<EngineCandidate> candidates, long nowNanos) {
        long tokens = request.promptTokens();
        double wholeRead = profile.readMillis(tokens);
        List<Option> options = new ArrayList<>(candidates.size());
        Placement best = null;
        long freeInMillis = Long.MAX_VALUE;
        int most = mostEngines(profile, request, wholeRead, candidates.size());
        for (int engines = 1; engines <= most; engines++) {
            options.clear();
            double read = wholeRead / engines;
            double inPass = profile.readMillisInOnePass(tokens / engines, read);
            for (int i = 0; i < candidates.size(); i++) {
                Option option = option(profile, request, candidates, i, read, inPass, nowNanos);
                options.add(option);
                freeInMillis = Math.min(freeInMillis, (long) option.waitMillis);
            }
            Placement placement = best(profile, request, options, engines, read);
            if (placement != null && (best == null || placement.cost() < best.cost())) {
                best = placement;
            }
        }
        if (best == null || best.firstEventMillis() > request.abandonMillis() * ABANDON_SHARE) {
            return Either.left(Math.max(MIN_RETRY_MILLIS, freeInMillis == Long.MAX_VALUE ? 0 : freeInMillis));
        }
        return Either.right(best);
    }

    private static int mostEngines(EngineProfile profile, PromptRequest request, double wholeRead, int candidates) {
        if (wholeRead <= profile.passMillis(1) * 2 || request.maxPauseMillis() <= SHORT_PAUSE_MILLIS) {
            return 1;
        }
        return Math.min(candidates, MAX_HELPERS + 1);
    }

    private Placement best(
            EngineProfile profile, PromptRequest request, List<Option> options, int engines, double read) {
        options.sort(Comparator.comparingDouble(option -> option.cost));
        Option first = firstWithSlot(options);
        if (first == null) {
            return null;
        }
        double cost = first.cost;
        double ready = first.readyMillis;
        List<EngineCandidate> helpers = new ArrayList<>(engines - 1);
        for (int i = 0; helpers.size() < engines - 1; i++) {
            Option option = options.get(i);
            if (option == first) {
                continue;
            }
            helpers.add(option.candidate);
            cost += option.cost;
            ready = Math.max(ready, option.readyMillis);
        }
        double hop = engines > 1 ? profile.hopMillis() * profile.stride() : 0;
        double firstEvent = ready + profile.passMillis(first.writers + 1) + hop + 2 * first.candidate.distanceMillis();
        double late = lateness(firstEvent, request.firstEventMillis());
        cost += request.weight() * (LATE_LOSS * late + HELPER_COST * (engines - 1));
        return new Placement(first.candidate, helpers, read, firstEvent, cost);
    }

    private static Option firstWithSlot(List<Option> options) {
        for (Option option : options) {
            if (option.hasSlot) {
                return option;
            }
        }
        return null;
    }

    private Option option(
            EngineProfile profile,
            PromptRequest request,
            List<EngineCandidate> candidates,
            int index,
            double read,
            double inPass,
            long nowNanos) {
        EngineCandidate candidate = candidates.get(index);
        EngineLoad load = candidate.load();
        Option option = new Option(candidate);
        double pace = load.pace();
        double wait = Math.max(0, (load.readUntilNanos() - nowNanos) / NANOS_PER_MILLI);
        option.waitMillis = wait;
        option.writers = load.writers();
        option.hasSlot = option.writers + SPARE_SLOTS < Math.min(profile.slots(), candidate.slots())
                && load.memoryTokens() + request.promptTokens() <= profile.memoryTokens() * MEMORY_SHARE;
        double pass = profile.passMillis(option.writers) * pace;
        // A read starts with the next pass; half of the current one is left on average.
        double startup = option.writers > 0 ? pass / 2 : 0;
        option.readyMillis = wait + startup + read * pace;
        boolean isShort = request.maxPauseMillis() <= SHORT_PAUSE_MILLIS;
        double cost = 0;
        boolean packed = false;
        for (EngineWork work : load.works()) {
            if (!work.isWriter()) {
                continue;
            }
            packed |= work.maxPauseMillis() <= SHORT_PAUSE_MILLIS;
            cost += harm(work, pass, wait, inPass * pace, nowNanos);
        }
        double weight = request.weight();
        if (isShort && !packed) {
            cost += OPENING_COST * weight;
        }
        double place = (double) index / candidates.size();
        cost += ORDER_COST * weight * (isShort ? place : 1 - place);
        cost += WAIT_COST_PER_SECOND * weight * wait / 1000;
        cost += (pace - 1) * weight * ORDER_COST;
        option.cost = cost;
        return option;
    }

    /** Returns what the caller of running work loses when a read of the given length joins its engine's pass. */
    private static double harm(EngineWork work, double pass, double wait, double read, long nowNanos) {
        double loss = LATE_LOSS * work.weight();
        double toFirst = (work.firstEventNanos() - nowNanos) / NANOS_PER_MILLI;
        if (toFirst > 0) {
            double left = (work.firstEventLimitNanos() - nowNanos) / NANOS_PER_MILLI;
            // Reads of equal rank are served in turn, so only reading within the same pass delays this one.
            double delayed = Math.min(read, pass) / 2;
            return loss * Math.max(0, lateness(toFirst + delayed, left) - lateness(toFirst, left));
        }
        if (nowNanos >= work.endNanos()) {
            return 0;
        }
        double limit = work.maxPauseMillis();
        double before = pauseLateness(pass + wait, limit);
        return loss * Math.max(0, pauseLateness(pass + wait + read, limit) - before);
    }

    private static double lateness(double expected, double limit) {
        double usable = limit * (1 - MARGIN);
        double spread = Math.max(10, Math.abs(limit) * FIRST_EVENT_SPREAD);
        return 1 / (1 + Math.exp(-(expected - usable) / spread));
    }

    private static double pauseLateness(double pause, double limit) {
        return 1 / (1 + Math.exp(-(pause - limit * (1 - MARGIN)) / (limit * PAUSE_SPREAD)));
    }

    /** One engine with what placing a part on it costs. */
    private static final class Option {
        private final EngineCandidate candidate;
        private double cost;
        private double waitMillis;
        private double readyMillis;
        private int writers;
        private boolean hasSlot;

        private Option(EngineCandidate candidate) {
            this.candidate = candidate;
        }
    }
}
