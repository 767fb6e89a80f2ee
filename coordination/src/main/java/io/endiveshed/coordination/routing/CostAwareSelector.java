package io.endiveshed.coordination.routing;

import io.endiveshed.base.id.TargetId;
import io.endiveshed.base.id.TargetKind;
import io.endiveshed.coordination.cost.CostModel;
import io.endiveshed.coordination.cost.LengthBand;
import io.endiveshed.coordination.membership.TargetView;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the target with the lowest predicted time to the first token among a few random candidates.
 *
 * <p>Entries share no memory and load reports lag. If each entry chose the best of all targets, all of them would
 * choose the same target until the next report; random candidates spread the requests. A cached prefix lowers a
 * target's predicted time by the prefill time that it saves, so affinity has no effect once the wait on that target is
 * longer than the saving. Thread-safe.
 */
public final class CostAwareSelector implements TargetSelector {
    private final RoutingSettings settings;
    private final CostModel cost;
    private final OutstandingWork outstanding;
    private final TargetHealth health;
    private final PrefixAffinity affinity;
    private final RandomGenerator random;

    /** Creates a selector; {@code random} must be safe for use by the threads that call the selector. */
    public CostAwareSelector(
            RoutingSettings settings,
            CostModel cost,
            OutstandingWork outstanding,
            TargetHealth health,
            PrefixAffinity affinity,
            RandomGenerator random) {
        this.settings = settings;
        this.cost = cost;
        this.outstanding = outstanding;
        this.health = health;
        this.affinity = affinity;
        this.random = random;
    }

    @Override
    public Optional<TargetView> select(RoutingRequest request, List<TargetView> targets) {
        return choose(request, targets).map(RoutingChoice::target);
    }

    /**
     * Chooses a target as {@link #select} does and returns it with the predictions for it, or empty if none is usable.
     */
    public Optional<RoutingChoice> choose(RoutingRequest request, List<TargetView> targets) {
        List<TargetView> usable = health.usableTargets(targets);
        usable.removeIf(target -> !canHold(request, target));
        double medianRatio = health.medianLatencyRatio(usable);
        RoutingChoice best = null;
        double bestScoreNanos = Double.POSITIVE_INFINITY;
        for (TargetView candidate : candidates(request, usable)) {
            RoutingChoice choice = predict(request, candidate, medianRatio);
            double scoreNanos = scoreNanos(request, choice);
            if (scoreNanos < bestScoreNanos) {
                best = choice;
                bestScoreNanos = scoreNanos;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether an idle target has enough KV memory for a request; always true for a plain service. */
    public static boolean canHold(RoutingRequest request, TargetView target) {
        return request.kind() != TargetKind.ENGINE || request.kvTokens() <= target.kvCapacityTokens();
    }

    private RoutingChoice predict(RoutingRequest request, TargetView target, double medianRatio) {
        LengthBand band = LengthBand.of(request.promptTokens());
        double slowness = health.slowness(target.id(), medianRatio);
        long cachedTokens = affinity.cachedTokens(request.prefixKey(), target.id());
        long prefillNanos = cost.prefillNanos(request.promptTokens(), Math.min(cachedTokens, request.promptTokens()));
        BandWork backlog = outstanding.estimate(target.id());
        double waitNanos = backlog.nanosUpTo(band)
                + settings.longerWorkWaitShare() * (backlog.totalNanos() - backlog.nanosUpTo(band));
        BandWork work = BandWork.in(band, prefillNanos + cost.decodeNanos(request.maxTokens()));
        return new RoutingChoice(
                target,
                work,
                Math.round(waitNanos * slowness),
                Math.round(prefillNanos * slowness),
                Math.round(waitNanos) + prefillNanos,
                Math.round(backlog.nanosUpTo(band) * slowness),
                Math.round(backlog.totalNanos() * slowness));
    }

    private double scoreNanos(RoutingRequest request, RoutingChoice choice) {
        boolean isLocal = choice.target().failureDomain().equals(settings.localDomain());
        double penaltyNanos = isLocal ? 0 : settings.remotePenaltyNanos();
        double memoryWaitNanos =
                request.kvTokens() > outstanding.freeKvTokens(choice.target().id()) ? choice.waitNanos() : 0;
        long longerWorkNanos = choice.backlogNanos() - choice.bandBacklogNanos();
        return choice.firstTokenNanos()
                + penaltyNanos
                + memoryWaitNanos
                + settings.longerWorkDelayShare() * longerWorkNanos;
    }

    private List<TargetView> candidates(RoutingRequest request, List<TargetView> usable) {
        List<TargetView> local = new ArrayList<>();
        List<TargetView> remote = new ArrayList<>();
        for (TargetView target : usable) {
            (target.failureDomain().equals(settings.localDomain()) ? local : remote).add(target);
        }
        List<TargetView> chosen = new ArrayList<>();
        moveRandom(local, settings.localCandidates(), chosen);
        int missing = settings.localCandidates() - chosen.size();
        moveRandom(remote, settings.remoteCandidates() + missing, chosen);
        addPrefixHolder(request, usable, chosen);
        return chosen;
    }

    private void addPrefixHolder(RoutingRequest request, List<TargetView> usable, List<TargetView> chosen) {
        TargetId holder = affinity.holder(request.prefixKey());
        if (holder == null) {
            return;
        }
        usable.stream()
                .filter(target -> target.id().equals(holder) && !chosen.contains(target))
                .findFirst()
                .ifPresent(chosen::add);
    }

    /** Moves up to {@code count} random elements from one list to another. */
    private void moveRandom(List<TargetView> from, int count, List<TargetView> to) {
        for (int drawn = 0; drawn < count && !from.isEmpty(); drawn++) {
            int index = random.nextInt(from.size());
            int last = from.size() - 1;
            to.add(from.get(index));
            from.set(index, from.get(last));
            from.remove(last);
        }
    }
}
