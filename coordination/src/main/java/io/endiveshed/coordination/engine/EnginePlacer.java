package io.endiveshed.coordination.engine;

import io.endiveshed.base.id.FailureDomain;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the engines for a prompt so that callers lose the least, counting the prompt itself and every request that it
 * delays. Has no state of its own; call it on the thread that owns the backlogs of the candidates.
 *
 * <p>The load alternates within seconds between mostly short and mostly long prompts. A long prompt that is prefilled in
 * one pass with short streams makes all of them pause, and a short prompt that waits behind a long one is late. Short
 * prompts are therefore packed on engines that already decode short streams, from one end of an engine order that all
 * entries share within each failure domain. Long prompts are divided among the fewest idle engines that meet their
 * latency objective, from the other end. The boundary between the two groups moves with the load, and entries need not
 * agree on it. Engines prefill a part of a divided prompt before all queued prompts, so a short prompt that would wait
 * behind a long one is divided between two engines.
 *
 * <p>With dozens of entries, several place a prompt within the time in which they learn of each other's placements, and
 * would all choose the same engine. Entries therefore prefer the engines of their own failure domain: fewer entries
 * choose among the same engines, and these learn of each other sooner.
 *
 * <pre>{@code
 * Either<Long, EnginePlacement> placed = placer.place(costModel, request, candidates, longShare, nowNanos);
 * }</pre>
 */
public final class EnginePlacer {
    /** Maximum number of engines that help with one request; the engines themselves accept no more. */
    private static final int MAX_HELPERS = 16;

    /** Share of a request's weight that is lost if its answer is late; a late answer still has some value. */
    private static final double LATE_LOSS = 0.75;

    /** Width of the uncertainty of a predicted first event, as a share of its limit. */
    private static final double FIRST_EVENT_SPREAD = 0.10;

    /** Width of the uncertainty of a predicted pause, as a share of its limit. */
    private static final double PAUSE_SPREAD = 0.08;

    /** Share of a time limit that is reserved for delays of the network and of processes. */
    private static final double TIME_LIMIT_MARGIN = 0.06;

    /** Longest pause limit of a short prompt, in milliseconds; prompts whose streams may pause longer are long. */
    private static final double MAX_SHORT_PROMPT_PAUSE_MILLIS = 400;

    /**
     * Cost of placing a short stream on an engine that decodes no short stream yet, as a share of the prompt's weight.
     * It is multiplied by the share of engine time that long prompts take, because the engine is not available to long
     * prompts for as long as the stream lasts.
     */
    private static final double FIRST_SHORT_STREAM_COST = 0.35;

    /** Cost of the last engine of the shared order relative to the first, as a share of the prompt's weight. */
    private static final double ORDER_COST = 0.1;

    /** Cost of each additional engine of a divided prompt, as a share of its weight. */
    private static final double HELPER_COST = 0.004;

    /**
     * Cost of each second of prefill that an engine still has queued, as a share of the prompt's weight. A part of a
     * divided prompt does not wait for this queue, but parts that arrive during its own prefill go ahead of it.
     */
    private static final double QUEUE_COST_PER_SECOND = 0.2;

    /** Share of an engine's KV memory that placements may use; the rest is for outputs longer than predicted. */
    private static final double USABLE_KV_SHARE = 0.95;

    /**
     * Largest share of an engine's KV memory that an undivided prompt may take. A prompt whose memory is divided needs
     * reservations on other engines, so smaller ones stay on one engine.
     */
    private static final double UNDIVIDED_KV_SHARE = 0.9;

    /** Largest share of an engine's KV memory that one part of a divided prompt may take. */
    private static final double PART_KV_SHARE = 0.6;

    /**
     * Number of slots of an engine that are taken only if no other engine has a free slot, because other entries may
     * take them at the same moment.
     */
    private static final int SPARE_SLOTS = 2;

    /** Cost of using a spare slot, as a share of the prompt's weight. */
    private static final double SPARE_SLOT_COST = 0.2;

    /** Share of the time until the caller gives up that a predicted first event may take. */
    private static final double CALLER_TIMEOUT_SHARE = 0.9;

    /** Shortest retry delay that a refused caller is given, in milliseconds. */
    private static final long MIN_RETRY_MILLIS = 100;

    /** Time in milliseconds after which a lost packet is sent again; it extends the pause between two events. */
    private static final double RETRANSMIT_MILLIS = 200;

    /** Probability that a stream loses a packet, at a loss rate of 1 to 2 in 1,000 on each of two links. */
    private static final double PACKET_LOSS_PROBABILITY = 0.1;

    /** Width of the uncertainty of a pause after a lost packet, in milliseconds. */
    private static final double RETRANSMIT_SPREAD_MILLIS = 2;

    /**
     * Cost of each millisecond of network delay to an engine, as a share of the prompt's weight. It stands for the
     * traffic between failure domains and its jitter.
     */
    private static final double NETWORK_DELAY_COST = 0.004;

    /** Cost of an engine in another failure domain than the entry, as a share of the prompt's weight. */
    private static final double OTHER_DOMAIN_COST = 0.05;

    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns whether prompts whose streams may pause for the given time, in milliseconds, are treated as long. */
    public static boolean isLongPrompt(double maxPauseMillis) {
        return maxPauseMillis > MAX_SHORT_PROMPT_PAUSE_MILLIS;
    }

    /**
     * Returns the placement with the lowest cost, or a retry delay if no placement starts the answer in time.
     *
     * @param costModel cost model of the engines
     * @param request the prompt
     * @param candidates engines in the order that all entries share; not empty
     * @param longShare share of the engines' time that long prompts take, see {@link LongPrefillDemand#share}
     * @param nowNanos current time in nanoseconds
     * @return on the right the placement; on the left the time in milliseconds after which a refused caller may retry
     */
    public Either<Long, EnginePlacement> place(
            EngineCostModel costModel,
            PromptRequest request,
            List<EngineCandidate> candidates,
            double longShare,
            long nowNanos) {
        double undividedPrefill = costModel.prefillMillis(request.promptTokens());
        double[] positions = positionsInDomains(candidates);
        int minParts = minParts(costModel, request);
        int maxEngines = maxEngines(costModel, request, undividedPrefill, minParts, candidates.size());
        EnginePlacement cheapest = null;
        long shortestQueueMillis = Long.MAX_VALUE;
        for (int parts = minParts; parts <= maxEngines && cheapest == null; parts++) {
            for (int engines = parts; engines <= maxEngines; engines++) {
                List<EngineOption> options =
                        rankOptions(costModel, request, candidates, positions, engines, longShare, nowNanos);
                for (EngineOption option : options) {
                    shortestQueueMillis = Math.min(shortestQueueMillis, (long) option.queueMillis);
                }
                EnginePlacement placement =
                        cheapestPlacement(costModel, request, options, engines, parts, undividedPrefill / engines);
                if (placement != null && (cheapest == null || placement.cost() < cheapest.cost())) {
                    cheapest = placement;
                }
            }
        }
        if (cheapest == null || cheapest.firstEventMillis() > request.callerTimeoutMillis() * CALLER_TIMEOUT_SHARE) {
            return Either.left(
                    Math.max(MIN_RETRY_MILLIS, shortestQueueMillis == Long.MAX_VALUE ? 0 : shortestQueueMillis));
        }
        return Either.right(cheapest);
    }

    /**
     * Returns the minimum number of engines among which the KV memory of a prompt is divided. Parts are small enough to
     * leave room for other requests.
     */
    private static int minParts(EngineCostModel costModel, PromptRequest request) {
        long tokens = request.promptTokens() + request.outputTokens();
        if (tokens <= costModel.kvCapacityTokens() * UNDIVIDED_KV_SHARE) {
            return 1;
        }
        return (int) Math.ceil(tokens / (costModel.kvCapacityTokens() * PART_KV_SHARE));
    }

    /** Returns the position of each candidate in the order of its failure domain, from 0 to less than 1. */
    private static double[] positionsInDomains(List<EngineCandidate> candidates) {
        Map<FailureDomain, Integer> sizes = new HashMap<>();
        double[] positions = new double[candidates.size()];
        for (int i = 0; i < positions.length; i++) {
            positions[i] = sizes.merge(candidates.get(i).domain(), 1, Integer::sum) - 1;
        }
        for (int i = 0; i < positions.length; i++) {
            positions[i] /= sizes.get(candidates.get(i).domain());
        }
        return positions;
    }

    /** Returns the candidates by rising cost of processing an equal part of the prompt on the given number of engines. */
    private List<EngineOption> rankOptions(
            EngineCostModel costModel,
            PromptRequest request,
            List<EngineCandidate> candidates,
            double[] positions,
            int engines,
            double longShare,
            long nowNanos) {
        long tokens = request.promptTokens();
        double prefill = costModel.prefillMillis(tokens) / engines;
        double prefillInPass = costModel.prefillMillisInOnePass(tokens / engines, prefill);
        List<EngineOption> options = new ArrayList<>(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            options.add(evaluate(
                    costModel, request, candidates.get(i), positions[i], prefill, prefillInPass, longShare, nowNanos));
        }
        options.sort(Comparator.comparingDouble(option -> option.cost));
        return options;
    }

    /** Returns the maximum number of engines that may process the prompt; at most two for a short prompt. */
    private static int maxEngines(
            EngineCostModel costModel, PromptRequest request, double undividedPrefill, int minParts, int candidates) {
        boolean fitsOneEngine = minParts == 1;
        boolean isShort = undividedPrefill <= costModel.passMillis(1) * 2 || !isLongPrompt(request.maxPauseMillis());
        if (fitsOneEngine && isShort) {
            return Math.min(candidates, 2);
        }
        return Math.min(candidates, MAX_HELPERS + 1);
    }

    /**
     * Returns the cheapest placement on the given number of engines of which {@code parts} hold a part of the prompt in
     * KV memory, or null if too few engines have room.
     *
     * @param options engines by rising cost
     * @param prefill time in milliseconds for which each engine prefills
     */
    private static EnginePlacement cheapestPlacement(
            EngineCostModel costModel,
            PromptRequest request,
            List<EngineOption> options,
            int engines,
            int parts,
            double prefill) {
        long partTokens = (request.promptTokens() + parts - 1) / parts;
        EngineOption primary = cheapestPrimary(options, partTokens + request.outputTokens());
        if (primary == null) {
            return null;
        }
        double cost = primary.cost + primary.primaryCost;
        double prefillEnd = primary.prefillEndMillis(engines > 1);
        List<EngineCandidate> holders = new ArrayList<>(parts - 1);
        List<EngineCandidate> prefillOnly = new ArrayList<>(engines - 1);
        for (int i = 0; i < options.size() && holders.size() + prefillOnly.size() < engines - 1; i++) {
            EngineOption option = options.get(i);
            boolean canHold = holders.size() < parts - 1 && option.freeKvTokens >= partTokens;
            boolean canPrefill = prefillOnly.size() < engines - parts;
            if (option == primary || !option.candidate.mayHelp() || !(canHold || canPrefill)) {
                continue;
            }
            (canHold ? holders : prefillOnly).add(option.candidate);
            cost += option.cost;
            prefillEnd = Math.max(prefillEnd, option.prefillEndMillis(true));
        }
        if (holders.size() < parts - 1 || prefillOnly.size() < engines - parts) {
            return null;
        }
        int holderCount = holders.size();
        holders.addAll(prefillOnly);
        double divisionOverhead = engines > 1 ? costModel.dividedStepMillis() * costModel.stepsPerPass() : 0;
        double firstEvent = prefillEnd
                + costModel.passMillis(primary.decodingRequests + 1) / primary.candidate.speedFactor()
                + divisionOverhead
                + 2 * primary.candidate.networkDelayMillis();
        double late = lateProbability(firstEvent, request.firstEventBudgetMillis());
        double abandoned = lateProbability(firstEvent, request.callerTimeoutMillis() * CALLER_TIMEOUT_SHARE);
        cost += request.weight() * (LATE_LOSS * late + (1 - LATE_LOSS) * abandoned + HELPER_COST * (engines - 1));
        return new EnginePlacement(primary.candidate, holders, holderCount, partTokens, prefill, firstEvent, cost);
    }

    /** Returns the cheapest engine with a free slot and room for the given number of tokens, or null if none has. */
    private static EngineOption cheapestPrimary(List<EngineOption> options, long tokens) {
        for (EngineOption option : options) {
            if (option.hasFreeSlot && option.freeKvTokens >= tokens) {
                return option;
            }
        }
        return null;
    }

    /**
     * Returns the cost of processing a part of the prompt on one candidate.
     *
     * @param prefill time in milliseconds for which the engine prefills the part
     * @param prefillInPass longest time in milliseconds by which this prefill lengthens one pass
     */
    private EngineOption evaluate(
            EngineCostModel costModel,
            PromptRequest request,
            EngineCandidate candidate,
            double position,
            double prefill,
            double prefillInPass,
            double longShare,
            long nowNanos) {
        EngineBacklog backlog = candidate.backlog();
        EngineOption option = new EngineOption(candidate);
        double speed = candidate.speedFactor();
        double queue = Math.max(0, (backlog.prefillEndNanos() - nowNanos) / NANOS_PER_MILLI) / speed;
        option.queueMillis = queue;
        option.decodingRequests = backlog.decodingRequests();
        long context = backlog.kvTokens();
        int freeSlots = Math.min(costModel.slots(), candidate.slots()) - option.decodingRequests;
        option.hasFreeSlot = freeSlots > 0;
        option.freeKvTokens = (long) (costModel.kvCapacityTokens() * USABLE_KV_SHARE) - context;
        double pass = costModel.passMillis(option.decodingRequests, context) / speed;
        double passWithRequest =
                costModel.passMillis(option.decodingRequests + 1, context + request.promptTokens()) / speed;
        // Prefill starts with the next pass, and the prefill of other prompts often lengthens the current one.
        double startup = option.decodingRequests > 0 ? pass : 0;
        option.prefillEndMillis = queue + startup + prefill / speed;
        boolean isShort = !isLongPrompt(request.maxPauseMillis());
        double cost = 0;
        boolean hasShortStream = false;
        for (EngineTask task : backlog.tasks()) {
            cost += delayLoss(task, pass, queue, prefillInPass / speed, nowNanos);
            if (!task.decodes()) {
                continue;
            }
            hasShortStream |= !isLongPrompt(task.maxPauseMillis());
            cost += task.weight()
                    * (retransmitLoss(passWithRequest, task.maxPauseMillis())
                            - retransmitLoss(pass, task.maxPauseMillis()));
        }
        double weight = request.weight();
        cost += weight * retransmitLoss(passWithRequest, request.maxPauseMillis());
        option.primaryCost = freeSlots > SPARE_SLOTS ? 0 : weight * SPARE_SLOT_COST;
        cost += weight * NETWORK_DELAY_COST * candidate.networkDelayMillis();
        if (isShort && !hasShortStream) {
            cost += FIRST_SHORT_STREAM_COST * Math.min(1, longShare) * weight;
        }
        cost += candidate.isInOtherDomain() ? OTHER_DOMAIN_COST * weight : 0;
        cost += ORDER_COST * weight * (isShort ? position : 1 - position);
        cost += QUEUE_COST_PER_SECOND * weight * queue / 1000;
        option.cost = cost;
        return option;
    }

    /**
     * Returns the expected loss of the caller of an unfinished task if a new prefill joins the engine's pass.
     *
     * @param pass time in milliseconds of the engine's current pass
     * @param queue time in milliseconds of the prefill that is queued on the engine
     * @param prefill time in milliseconds by which the new prefill lengthens the pass
     */
    private static double delayLoss(EngineTask task, double pass, double queue, double prefill, long nowNanos) {
        double lateLoss = LATE_LOSS * task.weight();
        double untilFirstEvent = (task.firstEventNanos() - nowNanos) / NANOS_PER_MILLI;
        if (untilFirstEvent > 0) {
            double untilDeadline = (task.firstEventDeadlineNanos() - nowNanos) / NANOS_PER_MILLI;
            // A part of a divided prompt is prefilled first, and prefills that share a pass end together, so this task
            // waits for the new prefill.
            double untilTimeout = (task.callerTimeoutNanos() - nowNanos) / NANOS_PER_MILLI;
            double late = lateProbability(untilFirstEvent + prefill, untilDeadline)
                    - lateProbability(untilFirstEvent, untilDeadline);
            double abandoned = lateProbability(untilFirstEvent + prefill, untilTimeout)
                    - lateProbability(untilFirstEvent, untilTimeout);
            return task.weight() * (LATE_LOSS * Math.max(0, late) + (1 - LATE_LOSS) * Math.max(0, abandoned));
        }
        if (!task.decodes() || nowNanos >= task.endNanos()) {
            return 0;
        }
        double maxPause = task.maxPauseMillis();
        double before = latePauseProbability(pass + queue, maxPause);
        return lateLoss * Math.max(0, latePauseProbability(pass + queue + prefill, maxPause) - before);
    }

    /**
     * Returns the share of a stream's weight that a lost packet costs on average, given the time of its engine's pass and
     * the longest pause that is on time, both in milliseconds.
     */
    private static double retransmitLoss(double pass, double maxPause) {
        double excess = pass + RETRANSMIT_MILLIS - maxPause;
        return LATE_LOSS * PACKET_LOSS_PROBABILITY / (1 + Math.exp(-excess / RETRANSMIT_SPREAD_MILLIS));
    }

    /** Returns the probability that an event predicted after the given time exceeds its limit; times in milliseconds. */
    private static double lateProbability(double predicted, double limit) {
        double usable = limit * (1 - TIME_LIMIT_MARGIN);
        double spread = Math.max(10, Math.abs(limit) * FIRST_EVENT_SPREAD);
        return 1 / (1 + Math.exp(-(predicted - usable) / spread));
    }

    /** Returns the probability that a predicted pause between events exceeds its limit; times in milliseconds. */
    private static double latePauseProbability(double pause, double limit) {
        return 1 / (1 + Math.exp(-(pause - limit * (1 - TIME_LIMIT_MARGIN)) / (limit * PAUSE_SPREAD)));
    }

    /** A candidate with the cost of processing a part of the prompt on it. */
    private static final class EngineOption {
        private final EngineCandidate candidate;
        private double cost;

        /** Additional cost if the engine decodes the answer. */
        private double primaryCost;

        private double queueMillis;
        private double prefillEndMillis;
        private int decodingRequests;
        private boolean hasFreeSlot;
        private long freeKvTokens;

        private EngineOption(EngineCandidate candidate) {
            this.candidate = candidate;
        }

        /**
         * Returns the time in milliseconds until the engine has prefilled its part. A part of a divided prompt is
         * prefilled before all queued prompts.
         */
        private double prefillEndMillis(boolean isDivided) {
            return isDivided ? prefillEndMillis - queueMillis : prefillEndMillis;
        }
    }
}
