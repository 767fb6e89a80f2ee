package io.endiveshed.bench.placement;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.coordination.engine.EngineCandidate;
import io.endiveshed.coordination.engine.EngineCostModel;
import io.endiveshed.coordination.engine.EnginePlacement;
import io.endiveshed.coordination.engine.EnginePlacer;
import io.endiveshed.coordination.engine.PromptRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongFunction;

/** Placement policies by name: that of the product and simpler ones for comparison. */
final class PlacementPolicies {
    /** Size of a part of a prompt under the policies that divide prompts into parts of a fixed size. */
    private static final long TOKENS_PER_PART = 30_000;

    /** Maximum number of engines of a prompt under these policies. */
    private static final int MAX_ENGINES_PER_PROMPT = 17;

    /** Share of the engines that the policy with fixed lanes reserves for long prompts. */
    private static final double LONG_LANE_SHARE = 0.43;

    private static final Comparator<EngineCandidate> LEAST_LOADED =
            Comparator.comparingInt(engine -> engine.backlog().decodingRequests());

    private static final Map<String, LongFunction<PlacementPolicy>> BY_NAME = new LinkedHashMap<>();

    static {
        BY_NAME.put("placer", seed -> PlacementPolicies::placer);
        BY_NAME.put("placer-one-order", seed -> PlacementPolicies::placerWithOneOrder);
        BY_NAME.put("least-outstanding", seed -> PlacementPolicies::leastOutstanding);
        BY_NAME.put("two-choices", PlacementPolicies::twoChoices);
        BY_NAME.put("fixed-division", seed -> PlacementPolicies::fixedDivision);
        BY_NAME.put("fixed-lanes", seed -> PlacementPolicies::fixedLanes);
    }

    private PlacementPolicies() {}

    static List<String> names() {
        return List.copyOf(BY_NAME.keySet());
    }

    /** Creates a policy for one run; runs must not share it. Only policies that choose at random use the seed. */
    static PlacementPolicy create(String name, long seed) {
        return BY_NAME.get(name).apply(seed);
    }

    private static Optional<EnginePlacement> placer(
            EngineCostModel costModel,
            PromptRequest request,
            List<EngineCandidate> engines,
            double longShare,
            long nowNanos) {
        return new EnginePlacer()
                .place(costModel, request, engines, longShare, nowNanos)
                .toJavaOptional();
    }

    /** Places as if all engines were in the failure domain of the entry, so that all entries share one order. */
    private static Optional<EnginePlacement> placerWithOneOrder(
            EngineCostModel costModel,
            PromptRequest request,
            List<EngineCandidate> engines,
            double longShare,
            long nowNanos) {
        FailureDomain domain = engines.get(0).domain();
        List<EngineCandidate> inOneDomain = engines.stream()
                .map(engine -> new EngineCandidate(
                        engine.id(),
                        domain,
                        false,
                        engine.slots(),
                        engine.backlog(),
                        engine.mayHelp(),
                        engine.networkDelayMillis()))
                .toList();
        return placer(costModel, request, inOneDomain, longShare, nowNanos);
    }

    private static Optional<EnginePlacement> leastOutstanding(
            EngineCostModel costModel,
            PromptRequest request,
            List<EngineCandidate> engines,
            double longShare,
            long nowNanos) {
        return divideAmongLeastLoaded(costModel, request, engines, 1);
    }

    private static PlacementPolicy twoChoices(long seed) {
        Random random = new Random(seed);
        return (costModel, request, engines, longShare, nowNanos) -> divideAmongLeastLoaded(
                costModel,
                request,
                List.of(engines.get(random.nextInt(engines.size())), engines.get(random.nextInt(engines.size()))),
                1);
    }

    private static Optional<EnginePlacement> fixedDivision(
            EngineCostModel costModel,
            PromptRequest request,
            List<EngineCandidate> engines,
            double longShare,
            long nowNanos) {
        return divideAmongLeastLoaded(costModel, request, engines, partCount(request, engines.size()));
    }

    private static Optional<EnginePlacement> fixedLanes(
            EngineCostModel costModel,
            PromptRequest request,
            List<EngineCandidate> engines,
            double longShare,
            long nowNanos) {
        int boundary = engines.size() - (int) Math.ceil(engines.size() * LONG_LANE_SHARE);
        if (!EnginePlacer.isLongPrompt(request.maxPauseMillis())) {
            return divideAmongLeastLoaded(costModel, request, engines.subList(0, Math.max(1, boundary)), 1);
        }
        List<EngineCandidate> lane = engines.subList(boundary, engines.size());
        return divideAmongLeastLoaded(costModel, request, lane, partCount(request, lane.size()));
    }

    private static int partCount(PromptRequest request, int engines) {
        long parts = (request.promptTokens() + TOKENS_PER_PART - 1) / TOKENS_PER_PART;
        return (int) Math.max(1, Math.min(parts, Math.min(engines, MAX_ENGINES_PER_PROMPT)));
    }

    private static Optional<EnginePlacement> divideAmongLeastLoaded(
            EngineCostModel costModel, PromptRequest request, List<EngineCandidate> engines, int parts) {
        List<EngineCandidate> chosen = new ArrayList<>(engines);
        chosen.sort(LEAST_LOADED);
        double prefillMillis = costModel.prefillMillis(request.promptTokens()) / parts;
        return Optional.of(new EnginePlacement(
                chosen.get(0),
                List.copyOf(chosen.subList(1, parts)),
                0,
                request.promptTokens(),
                prefillMillis,
                prefillMillis,
                0));
    }
}
