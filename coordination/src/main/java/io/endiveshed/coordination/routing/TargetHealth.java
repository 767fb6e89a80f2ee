package io.endiveshed.coordination.routing;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.TargetId;
import io.endiveshed.coordination.membership.TargetState;
import io.endiveshed.coordination.membership.TargetView;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Detects targets that must get no new work: targets with a gray failure, which answer slowly, and flapping targets,
 * which are lost and come back repeatedly.
 *
 * <p>A target is compared with the median of the targets of the same model, so load that slows all of them ejects none.
 * At most a third of a model's targets are ejected at a time, since more slow targets are likely to have a common
 * cause. An ejected target gets new work again after {@link #EJECTION_NANOS}, with its latency ratio reset to just
 * below the threshold, so that one more slow request ejects it again. Thread-safe.
 */
public final class TargetHealth {
    /** Ratio to the median latency from which a target is ejected. */
    public static final double EJECTION_RATIO = 2.5;
    /** Duration of an ejection, during which the target gets no new work, in nanoseconds. */
    public static final long EJECTION_NANOS = 10_000_000_000L;
    /** Reciprocal of the largest share of a model's targets that may be ejected at a time. */
    public static final int EJECTABLE_ONE_IN = 3;
    /** Number of losses within {@link #FLAP_WINDOW_NANOS} from which an instance counts as flapping. */
    public static final int MIN_FLAPPING_LOSSES = 3;
    /** Sliding window in which losses are counted, in nanoseconds. */
    public static final long FLAP_WINDOW_NANOS = 60_000_000_000L;

    private static final double NEW_OBSERVATION_WEIGHT = 0.2;
    private static final int MIN_OBSERVATIONS = 8;
    /** Upper limit of a single observed ratio, so that one outlier ejects no target. */
    private static final double MAX_OBSERVED_RATIO = 20;

    private final LongSupplier nanoClock;
    private final Map<TargetId, LatencyRatio> ratioByTarget = new ConcurrentHashMap<>();
    private final Map<InstanceId, List<Long>> lossTimesByInstance = new ConcurrentHashMap<>();

    /** Creates a detector without observations; the clock is monotonic, in nanoseconds. */
    public TargetHealth(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** Records how long a request took on a target compared with its prediction, both in nanoseconds. */
    public void recordLatency(TargetId target, long predictedNanos, long actualNanos) {
        double ratio = Math.min(MAX_OBSERVED_RATIO, (double) actualNanos / Math.max(1, predictedNanos));
        ratioByTarget.merge(target, new LatencyRatio(ratio, 1, 0), (old, first) -> old.smoothed(ratio));
    }

    /** Records the loss of a target, because its link closed or it stopped sending messages. */
    public void recordLoss(TargetId target) {
        long now = nanoClock.getAsLong();
        lossTimesByInstance.compute(target.instance(), (id, old) -> {
            List<Long> recent = new ArrayList<>(old == null ? List.of() : old);
            recent.removeIf(time -> now - time > FLAP_WINDOW_NANOS);
            recent.add(now);
            return recent;
        });
        lossTimesByInstance.values().removeIf(times -> now - times.get(times.size() - 1) > FLAP_WINDOW_NANOS);
        ratioByTarget.remove(target);
    }

    /** Returns whether the instance of a target was lost repeatedly within the last minute. */
    public boolean isFlapping(TargetId target) {
        long now = nanoClock.getAsLong();
        List<Long> times = lossTimesByInstance.getOrDefault(target.instance(), List.of());
        return times.stream().filter(time -> now - time <= FLAP_WINDOW_NANOS).count() >= MIN_FLAPPING_LOSSES;
    }

    /** Returns how many times slower than the median ratio a target is, at least 1. */
    public double slowness(TargetId target, double medianRatio) {
        LatencyRatio latency = ratioByTarget.get(target);
        return latency == null || latency.observations < MIN_OBSERVATIONS
                ? 1
                : Math.max(1, latency.ratio / Math.max(1e-3, medianRatio));
    }

    /**
     * Returns the median ratio of actual to predicted time over the targets, or 1 if there are too few observations.
     */
    public double medianLatencyRatio(List<TargetView> targets) {
        double[] ratios = targets.stream()
                .map(target -> ratioByTarget.get(target.id()))
                .filter(latency -> latency != null && latency.observations >= MIN_OBSERVATIONS)
                .mapToDouble(LatencyRatio::ratio)
                .sorted()
                .toArray();
        return ratios.length == 0 ? 1 : ratios[ratios.length / 2];
    }

    /**
     * Returns the targets that may get new work: the live targets except ejected and flapping ones. Suspect targets are
     * included if no target is live, or if more than a third are suspect, since the network of this process is then the
     * likelier cause.
     */
    public List<TargetView> usableTargets(List<TargetView> targets) {
        List<TargetView> candidates = inState(targets, TargetState.LIVE);
        List<TargetView> suspect = inState(targets, TargetState.SUSPECT);
        int known = candidates.size() + suspect.size();
        if (candidates.isEmpty() || suspect.size() * EJECTABLE_ONE_IN > known) {
            candidates.addAll(suspect);
        }
        return withoutEjected(candidates, known / EJECTABLE_ONE_IN);
    }

    private List<TargetView> withoutEjected(List<TargetView> candidates, int maxEjected) {
        double medianRatio = medianLatencyRatio(candidates);
        List<TargetView> unhealthy = new ArrayList<>();
        for (TargetView target : candidates) {
            if (isFlapping(target.id()) || ejectIfSlow(target.id(), medianRatio)) {
                unhealthy.add(target);
            }
        }
        if (unhealthy.isEmpty()) {
            return candidates;
        }
        unhealthy.sort(Comparator.comparingDouble(target -> -slowness(target.id(), medianRatio)));
        candidates.removeAll(unhealthy.subList(0, Math.min(maxEjected, unhealthy.size())));
        return candidates;
    }

    /** Returns whether a target is ejected; starts an ejection if the target is too slow. */
    private boolean ejectIfSlow(TargetId target, double medianRatio) {
        LatencyRatio latency = ratioByTarget.get(target);
        if (latency == null) {
            return false;
        }
        long now = nanoClock.getAsLong();
        if (latency.ejectedUntilNanos > now) {
            return true;
        }
        if (slowness(target, medianRatio) < EJECTION_RATIO) {
            return false;
        }
        ratioByTarget.put(
                target, new LatencyRatio(EJECTION_RATIO * medianRatio * 0.99, MIN_OBSERVATIONS, now + EJECTION_NANOS));
        return true;
    }

    private static List<TargetView> inState(List<TargetView> targets, TargetState state) {
        List<TargetView> found = new ArrayList<>();
        for (TargetView target : targets) {
            if (target.state() == state) {
                found.add(target);
            }
        }
        return found;
    }

    private record LatencyRatio(double ratio, int observations, long ejectedUntilNanos) {
        LatencyRatio smoothed(double observed) {
            return new LatencyRatio(
                    ratio + NEW_OBSERVATION_WEIGHT * (observed - ratio), observations + 1, ejectedUntilNanos);
        }
    }
}
