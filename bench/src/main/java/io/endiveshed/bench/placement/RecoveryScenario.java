package io.endiveshed.bench.placement;

import java.util.Map;
import java.util.TreeMap;

/** How the targets of a run start, fail and recover, by the index of the target and the virtual time in milliseconds. */
record RecoveryScenario(
        AffectedTargets affected,
        Outages outages,
        double slowdownAtReturn,
        double warmUpMillis,
        double failureShare,
        boolean isListedWhileDown,
        boolean isDrained,
        double loadFactor,
        double longFactorAtReturn) {
    /** Time from which results count. */
    static final double RETURN_MILLIS = 10_000;

    private static final double CRASH_MILLIS = 6_000;
    private static final double ROLLING_INTERVAL_MILLIS = 300;
    private static final double ROLLING_OUTAGE_MILLIS = 5_000;
    private static final int FLAP_MILLIS = 4_000;
    private static final int FLAP_OUTAGE_MILLIS = 1_500;

    /** Returns the scenarios by name. */
    static Map<String, RecoveryScenario> all() {
        AffectedTargets one = (target, domains, targets) -> target == 1;
        AffectedTargets domain = (target, domains, targets) -> target % domains == 0;
        AffectedTargets each = (target, domains, targets) -> true;
        AffectedTargets quarter = (target, domains, targets) -> target % 4 == 1;
        Outages crash = (target, millis) -> millis >= CRASH_MILLIS && millis < RETURN_MILLIS;
        Outages never = (target, millis) -> false;
        Outages absent = (target, millis) -> millis < RETURN_MILLIS;
        Outages rolling = (target, millis) -> {
            double start = RETURN_MILLIS + target * ROLLING_INTERVAL_MILLIS;
            return millis >= start && millis < start + ROLLING_OUTAGE_MILLIS;
        };
        Outages flapping = (target, millis) ->
                millis >= CRASH_MILLIS && (millis - CRASH_MILLIS) % FLAP_MILLIS < FLAP_OUTAGE_MILLIS;
        Map<String, RecoveryScenario> scenarios = new TreeMap<>();
        scenarios.put("one returns warm", new RecoveryScenario(one, crash, 1, 0, 0, false, false, 1, 1));
        scenarios.put("one returns cold", new RecoveryScenario(one, crash, 4, 10_000, 0, false, false, 1, 1));
        scenarios.put("domain returns cold", new RecoveryScenario(domain, crash, 4, 10_000, 0, false, false, 1, 1));
        scenarios.put("all return", new RecoveryScenario(each, crash, 2, 10_000, 0, false, false, 1, 1));
        scenarios.put("all return, long first", new RecoveryScenario(each, crash, 2, 10_000, 0, false, false, 1, 4));
        scenarios.put("rolling release", new RecoveryScenario(each, rolling, 3, 5_000, 0, false, true, 1, 1));
        scenarios.put("empty targets added", new RecoveryScenario(quarter, absent, 1, 0, 0, false, false, 1, 1));
        scenarios.put("permanently slow", new RecoveryScenario(one, never, 4, Double.MAX_VALUE, 0, false, false, 1, 1));
        scenarios.put("fails two of five", new RecoveryScenario(one, never, 1, 0, 0.4, false, false, 1, 1));
        scenarios.put("flaps", new RecoveryScenario(one, flapping, 1, 0, 0, true, false, 1, 1));
        scenarios.put("night, one returns cold", new RecoveryScenario(one, crash, 4, 10_000, 0, false, false, 0.1, 1));
        scenarios.put("nothing happens", new RecoveryScenario(each, never, 1, 0, 0, false, false, 1, 1));
        return scenarios;
    }

    /** Returns the same load on the same targets, none of which fails or is slow. */
    RecoveryScenario withoutFault() {
        return new RecoveryScenario(
                affected, (target, millis) -> false, 1, 0, 0, false, false, loadFactor, longFactorAtReturn);
    }

    /** Returns how much longer the passes of an affected target take at a moment. */
    double slowdown(int target, double millis) {
        if (warmUpMillis == 0 || warmUpMillis == Double.MAX_VALUE) {
            return slowdownAtReturn;
        }
        double sinceReturn = 0;
        while (sinceReturn < warmUpMillis && sinceReturn < millis && !outages.isDown(target, millis - sinceReturn)) {
            sinceReturn += 100;
        }
        boolean isWarm = sinceReturn >= warmUpMillis || sinceReturn >= millis;
        return isWarm ? 1 : slowdownAtReturn + (1 - slowdownAtReturn) * sinceReturn / warmUpMillis;
    }

    /** Which targets are affected. */
    @FunctionalInterface
    interface AffectedTargets {
        boolean contains(int target, int domains, int targets);
    }

    /** When affected targets are down. */
    @FunctionalInterface
    interface Outages {
        boolean isDown(int target, double millis);
    }
}
