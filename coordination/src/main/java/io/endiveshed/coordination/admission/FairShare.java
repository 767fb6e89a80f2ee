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
 * Weighted max-min fair shares of one model's capacity among client accounts, measured in engine time.
 *
 * <p>Each account's recent demand and recently accepted work are kept as decaying sums. The fair level is the largest
 * engine time per unit of weight for which the demands, each limited to the level, fit into the recently accepted work.
 * Accounts below the level get all that they demand; only accounts above it are limited. Thread-safe.
 */
public final class FairShare {
    /** Time constant of the decay: time over which work counts as recent, in nanoseconds. */
    public static final long TIME_CONSTANT_NANOS = 20_000_000_000L;

    /** Time for which a computed level is reused, since it changes slowly and each computation sorts the accounts. */
    private static final long LEVEL_VALIDITY_NANOS = 100_000_000L;
    /** Recent demand below which an account is removed, in nanoseconds of engine time. */
    private static final double NEGLIGIBLE_DEMAND_NANOS = 1_000_000;
    /** Factor on the share for long prompts; above 1, so that measurement noise causes no refusals. */
    private static final double LONG_TOLERANCE = 1.05;

    private static final double MEDIUM_TOLERANCE = 1.3;
    private static final double SHORT_TOLERANCE = 2;

    private final LongSupplier nanoClock;
    private final Map<ClientAccountId, AccountUsage> usageByAccount = new ConcurrentHashMap<>();
    private volatile CachedLevel cachedLevel = new CachedLevel(Double.POSITIVE_INFINITY, Long.MIN_VALUE);

    /** Creates shares without any demand yet; the clock is monotonic, in nanoseconds. */
    public FairShare(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** Adds the work of a request that an account sent, whether it is accepted or not. */
    public void recordDemand(ClientAccountId account, int weight, long workNanos) {
        usage(account, weight).demand.add((double) workNanos);
    }

    /** Adds the work of a request that was accepted. */
    public void recordAccepted(ClientAccountId account, int weight, long workNanos) {
        usage(account, weight).accepted.add((double) workNanos);
    }

    /**
     * Returns whether an account's use exceeds its share by more than is tolerated for prompts of a length band. The
     * longest prompts are refused first: they make up most of an account's work, so a few refusals bring the account
     * near its share.
     */
    public boolean isOverShare(ClientAccountId account, int weight, LengthBand band) {
        AccountUsage usage = usage(account, weight);
        double level = level();
        // A level computed before a burst is too low; an account without competitors must not be refused because of it.
        return usageByAccount.size() > 1 && usage.accepted.value() > tolerance(band) * weight * level;
    }

    /** Returns the time until an account that sends nothing more is within its share again, in nanoseconds. */
    public long nanosUntilShare(ClientAccountId account, int weight, LengthBand band) {
        double used = usage(account, weight).accepted.value();
        double share = Math.max(1, tolerance(band) * weight * level());
        return used <= share ? 0 : Math.round(TIME_CONSTANT_NANOS * Math.log(used / share));
    }

    private static double tolerance(LengthBand band) {
        return switch (band) {
            case SHORT -> SHORT_TOLERANCE;
            case MEDIUM -> MEDIUM_TOLERANCE;
            case LONG, VERY_LONG -> LONG_TOLERANCE;
        };
    }

    private AccountUsage usage(ClientAccountId account, int weight) {
        return usageByAccount.computeIfAbsent(account, id -> new AccountUsage(weight, nanoClock));
    }

    private double level() {
        CachedLevel current = cachedLevel;
        long now = nanoClock.getAsLong();
        if (current.validUntilNanos <= now) {
            usageByAccount.values().removeIf(usage -> usage.demand.value() < NEGLIGIBLE_DEMAND_NANOS);
            current = new CachedLevel(computeLevel(), now + LEVEL_VALIDITY_NANOS);
            cachedLevel = current;
        }
        return current.nanosPerWeight;
    }

    /** Computes the level by water-filling: satisfies demands in ascending order until the accepted work is used up. */
    private double computeLevel() {
        List<AccountDemand> demands = new ArrayList<>();
        double remaining = 0;
        double weights = 0;
        for (AccountUsage usage : usageByAccount.values()) {
            demands.add(new AccountDemand(usage.demand.value() / usage.weight, usage.weight));
            remaining += usage.accepted.value();
            weights += usage.weight;
        }
        demands.sort(Comparator.comparingDouble(AccountDemand::nanosPerWeight));
        for (AccountDemand demand : demands) {
            if (demand.nanosPerWeight * weights >= remaining) {
                return remaining / weights;
            }
            remaining -= demand.nanosPerWeight * demand.weight;
            weights -= demand.weight;
        }
        return Double.POSITIVE_INFINITY;
    }

    private record CachedLevel(double nanosPerWeight, long validUntilNanos) {}

    private record AccountDemand(double nanosPerWeight, int weight) {}

    private static final class AccountUsage {
        private final int weight;
        private final DecayedSum demand;
        private final DecayedSum accepted;

        AccountUsage(int weight, LongSupplier nanoClock) {
            this.weight = Math.max(1, weight);
            this.demand = new DecayedSum(nanoClock, TIME_CONSTANT_NANOS);
            this.accepted = new DecayedSum(nanoClock, TIME_CONSTANT_NANOS);
        }
    }
}
