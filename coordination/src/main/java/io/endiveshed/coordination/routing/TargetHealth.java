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
 * Finds the targets that should get no new work: grey ones, which answer but slowly, and flapping ones, which are lost
 * and come back repeatedly.
 *
 * <p>A target is compared with the median of the targets of the same model, so that load that slows all of them ejects
 * none. At most a third of a model's targets are ejected at a time; beyond that the cause is more likely shared. An
 * ejected target gets new work again after {@link #EJECTION_NANOS}, with its measurement reset to the threshold, so
 * that one more slow request ejects it again. Safe for use by several threads.
 */
public final class TargetHealth {
    /** Slowness relative to the median from which a target is ejected. */
    public static final double EJECTION_RATIO = 2.5;
    /** Time for which an ejected target gets no new work, in nanoseconds. */
    public static final long EJECTION_NANOS = 10_000_000_000L;
    /** Largest share of a model's targets that are ejected at a time, as its reciprocal. */
    public static final int EJECTABLE_ONE_IN = 3;
    /** Losses within {@link #FLAP_WINDOW_NANOS} from which an instance counts as flapping. */
    public static final int FLAPS = 3;
    /** Time over which losses are counted, in nanoseconds. */
    public static final long FLAP_WINDOW_NANOS = 60_000_000_000L;

    private static final double NEW_OBSERVATION_WEIGHT = 0.2;
    private static final int MIN_OBSERVATIONS = 8;
    /** A single observation counts at most this much, so that one odd request ejects no target. */
    private static final double MAX_RATIO = 20;

    private final LongSupplier nanoClock;
    private final Map<TargetId, Speed> speeds = new ConcurrentHashMap<>();
    private final Map<InstanceId, List<Long>> losses = new ConcurrentHashMap<>();

    /** Makes a record without observations. */
    public TargetHealth(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** Learns how long a request took on a target compared with the prediction for it. */
    public void observed(TargetId target, long predictedNanos, long actualNanos) {
        double ratio = Math.min(MAX_RATIO, (double) actualNanos / Math.max(1, predictedNanos));
        speeds.merge(target, new Speed(ratio, 1, 0), (old, first) -> old.blend(ratio));
    }

    /** Counts the loss of a target, by a closed link or by silence. */
    public void lost(TargetId target) {
        long now = nanoClock.getAsLong();
        losses.compute(target.instance(), (id, old) -> {
            List<Long> recent = new ArrayList<>(old == null ? List.of() : old);
            recent.removeIf(time -> now - time > FLAP_WINDOW_NANOS);
            recent.add(now);
            return recent;
        });
        speeds.remove(target);
    }

    /** Returns whether the instance of a target was lost repeatedly within the last minute. */
    public boolean isFlapping(TargetId target) {
        long now = nanoClock.getAsLong();
        List<Long> times = losses.getOrDefault(target.instance(), List.of());
        return times.stream().filter(time -> now - time <= FLAP_WINDOW_NANOS).count() >= FLAPS;
    }

    /** Returns how many times slower than the median a target is, at least 1. */
    public double slowness(TargetId target, double median) {
        Speed speed = speeds.get(target);
        return speed == null || speed.count < MIN_OBSERVATIONS ? 1 : Math.max(1, speed.ratio / Math.max(1e-3, median));
    }

    /** Returns the median ratio of actual to predicted time over targets, or 1 before there are observations. */
    public double median(List<TargetView> targets) {
        double[] ratios = targets.stream()
                .map(target -> speeds.get(target.id()))
                .filter(speed -> speed != null && speed.count >= MIN_OBSERVATIONS)
                .mapToDouble(Speed::ratio)
                .sorted()
                .toArray();
        return ratios.length == 0 ? 1 : ratios[ratios.length / 2];
    }

    /**
     * Returns the targets that may get new work: live ones without the ejected and flapping ones, or suspect ones if
     * no other is left or so many are suspect that this process's own network is the likelier cause.
     */
    public List<TargetView> usable(List<TargetView> targets) {
        List<TargetView> present = inState(targets, TargetState.LIVE);
        List<TargetView> suspect = inState(targets, TargetState.SUSPECT);
        int known = present.size() + suspect.size();
        if (present.isEmpty() || suspect.size() * EJECTABLE_ONE_IN > known) {
            present.addAll(suspect);
        }
        return withoutEjected(present, known / EJECTABLE_ONE_IN);
    }

    private List<TargetView> withoutEjected(List<TargetView> present, int mayEject) {
        double median = median(present);
        List<TargetView> bad = new ArrayList<>();
        for (TargetView target : present) {
            if (isFlapping(target.id()) || isEjected(target.id(), median)) {
                bad.add(target);
            }
        }
        if (bad.isEmpty()) {
            return present;
        }
        bad.sort(Comparator.comparingDouble(target -> -slowness(target.id(), median)));
        present.removeAll(bad.subList(0, Math.min(mayEject, bad.size())));
        return present;
    }

    private boolean isEjected(TargetId target, double median) {
        Speed speed = speeds.get(target);
        if (speed == null) {
            return false;
        }
        long now = nanoClock.getAsLong();
        if (speed.ejectedUntil > now) {
            return true;
        }
        if (slowness(target, median) < EJECTION_RATIO) {
            return false;
        }
        speeds.put(target, new Speed(EJECTION_RATIO * median * 0.99, MIN_OBSERVATIONS, now + EJECTION_NANOS));
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

    private record Speed(double ratio, int count, long ejectedUntil) {
        Speed blend(double observed) {
            return new Speed(ratio + NEW_OBSERVATION_WEIGHT * (observed - ratio), count + 1, ejectedUntil);
        }
    }
}
