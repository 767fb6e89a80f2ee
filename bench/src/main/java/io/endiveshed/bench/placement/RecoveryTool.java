package io.endiveshed.bench.placement;

import io.endiveshed.coordination.engine.EngineCostModel;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Plays the recovery of targets with each policy and prints a Markdown table. Arguments: number of runs, then policies;
 * the default is 8 runs of {@code BEFORE} and {@code SLOW_START}. The system properties {@code entries} (5, 28 or 43) and
 * {@code cases} (regular expression) select rows.
 *
 * <pre>{@code
 * java -Dentries=28 -cp ... io.endiveshed.bench.placement.RecoveryTool 2
 * }</pre>
 */
public final class RecoveryTool {
    private static final EngineCostModel ENGINE_H =
            new EngineCostModel(8, 315_000, 0.85, 0.0013, 0.00213, 177, 0.162, 2048, 34, 0.1);
    private static final EngineCostModel ENGINE_S =
            new EngineCostModel(8, 382_500, 0.925, 0.0013, 0.00213, 256, 0.162, 2048, 34, 0.1);
    private static final Fleet SMALL =
            new Fleet(ENGINE_H, 10, new EntryTopology(5, 3, 0.5, 3.9), new LoadMix(8.4, 0.93, 0.18), 1.3);
    private static final Fleet DEPLOYMENT_H =
            new Fleet(ENGINE_H, 54, new EntryTopology(28, 3, 0.5, 3.9), new LoadMix(45.6, 5.02, 0.951), 1.3);
    private static final Fleet DEPLOYMENT_S =
            new Fleet(ENGINE_S, 45, new EntryTopology(43, 3, 0.5, 1.4), new LoadMix(47.3, 4.34, 1.28), 1.7);

    /** Fleets by their number of entries. */
    static final Map<Integer, Fleet> FLEETS = Map.of(5, SMALL, 28, DEPLOYMENT_H, 43, DEPLOYMENT_S);

    private static final long SEED = 20_261_205;

    private RecoveryTool() {}

    /** Prints a row for each scenario, number of entries and policy. */
    public static void main(String[] arguments) {
        int runs = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 8;
        List<RecoveryPolicy> policies = arguments.length > 1
                ? Arrays.stream(arguments).skip(1).map(RecoveryPolicy::valueOf).toList()
                : List.of(RecoveryPolicy.BEFORE, RecoveryPolicy.SLOW_START);
        System.out.println("| case | entries | policy | late there | broken there | late elsewhere | broken elsewhere"
                + " | refused | s to 0.9 | peak |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        String only = System.getProperty("cases", ".*");
        RecoveryScenario.all().forEach((name, scenario) -> {
            if (!name.matches(only)) {
                return;
            }
            int selected = Integer.getInteger("entries", 0);
            for (int entries : selected == 0 ? List.of(5, 28, 43) : List.of(selected)) {
                RecoveryResult withoutFault = simulate(entries, scenario.withoutFault(), RecoveryPolicy.BEFORE, runs);
                for (RecoveryPolicy policy : policies) {
                    print(name, entries, policy, simulate(entries, scenario, policy, runs), withoutFault, runs);
                }
            }
        });
    }

    private static void print(
            String name, int entries, RecoveryPolicy policy, RecoveryResult result, RecoveryResult none, int runs) {
        System.out.println(String.format(
                Locale.ROOT,
                "| %s | %d | %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.0f | %.2f |",
                name,
                entries,
                policy.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                (double) result.lateAtAffected / runs,
                (double) result.brokenAtAffected / runs,
                (double) result.lateElsewhere / runs,
                (double) result.brokenElsewhere / runs,
                (double) result.refused / runs,
                result.secondsUntilShare(none),
                result.peakOpenShare));
    }

    /** Returns the sum of several runs. */
    static RecoveryResult simulate(int entries, RecoveryScenario scenario, RecoveryPolicy policy, int runs) {
        Fleet fleet = FLEETS.get(entries);
        return IntStream.range(0, runs)
                .parallel()
                .mapToObj(run -> new RecoverySimulation(
                                fleet.costModel, fleet.targets, fleet.topology, scenario, policy, SEED + run)
                        .run(fleet.load, fleet.longSize))
                .reduce(RecoveryResult::add)
                .orElseThrow();
    }

    /** Entries, targets and load of a deployment. */
    record Fleet(EngineCostModel costModel, int targets, EntryTopology topology, LoadMix load, double longSize) {}
}
