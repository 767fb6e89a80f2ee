package io.endiveshed.bench.placement;

/** What callers got in a run of {@link RecoverySimulation} from the return of the targets on, and the load on them. */
final class RecoveryResult {
    private final long[] placedPerSecond;
    long lateAtAffected;
    long lateElsewhere;
    long brokenAtAffected;
    long brokenElsewhere;
    long refused;
    double peakOpenShare;

    RecoveryResult(int seconds) {
        placedPerSecond = new long[seconds];
    }

    void recordPlaced(double millis, boolean isAffected) {
        if (isAffected && millis < RecoverySimulation.END_MILLIS) {
            placedPerSecond[(int) (millis / 1000)]++;
        }
    }

    void recordOpen(double millis, double openShare) {
        if (millis >= RecoveryScenario.RETURN_MILLIS) {
            peakOpenShare = Math.max(peakOpenShare, openShare);
        }
    }

    void recordRefused(double millis) {
        refused += millis >= RecoveryScenario.RETURN_MILLIS ? 1 : 0;
    }

    void recordEnd(boolean isAffected, double placedMillis, boolean isOnTime, boolean isBroken) {
        if (isOnTime || placedMillis < RecoveryScenario.RETURN_MILLIS) {
            return;
        }
        if (isAffected) {
            lateAtAffected += isBroken ? 0 : 1;
            brokenAtAffected += isBroken ? 1 : 0;
        } else {
            lateElsewhere += isBroken ? 0 : 1;
            brokenElsewhere += isBroken ? 1 : 0;
        }
    }

    /** Adds another run. */
    RecoveryResult add(RecoveryResult other) {
        for (int i = 0; i < placedPerSecond.length; i++) {
            placedPerSecond[i] += other.placedPerSecond[i];
        }
        lateAtAffected += other.lateAtAffected;
        lateElsewhere += other.lateElsewhere;
        brokenAtAffected += other.brokenAtAffected;
        brokenElsewhere += other.brokenElsewhere;
        refused += other.refused;
        peakOpenShare = Math.max(peakOpenShare, other.peakOpenShare);
        return this;
    }

    /** Returns the seconds from the return until the affected targets get 0.9 of what they get without any fault. */
    double secondsUntilShare(RecoveryResult withoutFault) {
        int from = (int) (RecoveryScenario.RETURN_MILLIS / 1000);
        for (int second = from; second + 2 <= placedPerSecond.length; second++) {
            long placed = placedPerSecond[second] + placedPerSecond[second + 1];
            long expected = withoutFault.placedPerSecond[second] + withoutFault.placedPerSecond[second + 1];
            if (placed >= 0.9 * expected) {
                return second - from;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
