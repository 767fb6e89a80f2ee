package io.endiveshed.coordination.admission;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.coordination.cost.DecayedSum;
import io.endiveshed.coordination.cost.LengthBand;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Weighted max-min fair share of one model's capacity among client accounts, measured in engine time.
 *
 * <p>Each account's recent demand and recent accepted work are kept as decaying sums. The level is the largest engine
 * time per unit of weight such that the demands cut to it fit into what was accepted recently; accounts below the level
 * get all they ask for, and only the others are cut. Safe for use by several threads.
 */
public final class FairShare {
    /** Time over which work counts as recent, in nanoseconds. */
    public static final long TIME_CONSTANT_NANOS = 20_000_000_000L;

    /** The level changes slowly and costs a sort of the accounts, so it is reused for this time, in nanoseconds. */
    private static final long LEVEL_VALIDITY_NANOS = 100_000_000L;
    /** Accounts whose recent demand has fallen below this are dropped, in nanoseconds of engine time. */
    private static final double NEGLIGIBLE_NANOS = 1_000_000;
    /** Part above its share that an account may use for long prompts, so that measurement noise refuses nobody. */
    private static final double TOLERANCE = 1.05;

    private static final double MEDIUM_TOLERANCE = 1.3;
    private static final double SHORT_TOLERANCE = 2;

    private final LongSupplier nanoClock;
    private final Map<ClientAccountId, Usage> usages = new ConcurrentHashMap<>();
    private volatile Level level = new Level(Double.POSITIVE_INFINITY, Long.MIN_VALUE);

    /** Makes an empty record. */
    public FairShare(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** Counts a request that an account asked for, whether it is accepted or not. */
    public void demanded(ClientAccountId account, int weight, long workNanos) {
        usage(account, weight).demand.add((double) workNanos);
    }

    /** Counts a request that was accepted. */
    public void accepted(ClientAccountId account, int weight, long workNanos) {
        usage(account, weight).accepted.add((double) workNanos);
    }

    /**
     * Returns whether an account uses too much above its share to send a prompt of a band. The longest prompts are cut
     * first: most of an account's work is in few of them, so it stays near its share with few refusals.
     */
    public boolean isOverShare(ClientAccountId account, int weight, LengthBand band) {
        Usage usage = usage(account, weight);
        double level = level();
        // A level from before a burst is too low for an account that competes with nobody.
        return usages.size() > 1 && usage.accepted.value() > tolerance(band) * weight * level;
    }

    /** Returns the time after which an account over its share falls to it if it sends nothing, in nanoseconds. */
    public long nanosUntilShare(ClientAccountId account, int weight, LengthBand band) {
        double used = usage(account, weight).accepted.value();
        double share = Math.max(1, tolerance(band) * weight * level());
        return used <= share ? 0 : Math.round(TIME_CONSTANT_NANOS * Math.log(used / share));
    }

    private static double tolerance(LengthBand band) {
        return switch (band) {
            case SHORT -> SHORT_TOLERANCE;
            case MEDIUM -> MEDIUM_TOLERANCE;
            case LONG, VERY_LONG -> TOLERANCE;
        };
    }

    private Usage usage(ClientAccountId account, int weight) {
        return usages.computeIfAbsent(account, id -> new Usage(weight, nanoClock));
    }

    private double level() {
        Level current = level;
        long now = nanoClock.getAsLong();
        if (current.validUntilNanos <= now) {
            usages.values().removeIf(usage -> usage.demand.value() < NEGLIGIBLE_NANOS);
            current = new Level(computeLevel(), now + LEVEL_VALIDITY_NANOS);
            level = current;
        }
        return current.nanosPerWeight;
    }

    /** Fills the accounts from the smallest demand per weight upwards until the accepted work is used up. */
    private double computeLevel() {
        List<Demand> demands = new ArrayList<>();
        double left = 0;
        double weights = 0;
        for (Usage usage : usages.values()) {
            demands.add(new Demand(usage.demand.value() / usage.weight, usage.weight));
            left += usage.accepted.value();
            weights += usage.weight;
        }
        demands.sort(Comparator.comparingDouble(Demand::nanosPerWeight));
        for (Demand demand : demands) {
            if (demand.nanosPerWeight * weights >= left) {
                return left / weights;
            }
            left -= demand.nanosPerWeight * demand.weight;
            weights -= demand.weight;
        }
        return Double.POSITIVE_INFINITY;
    }

    private record Level(double nanosPerWeight, long validUntilNanos) {}

    private record Demand(double nanosPerWeight, int weight) {}

    private static final class Usage {
        private final int weight;
        private final DecayedSum demand;
        private final DecayedSum accepted;

        Usage(int weight, LongSupplier nanoClock) {
            this.weight = Math.max(1, weight);
            this.demand = new DecayedSum(nanoClock, TIME_CONSTANT_NANOS);
            this.accepted = new DecayedSum(nanoClock, TIME_CONSTANT_NANOS);
        }
    }
}
