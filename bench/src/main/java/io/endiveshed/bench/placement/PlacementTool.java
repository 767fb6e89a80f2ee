package io.endiveshed.bench.placement;

import io.endiveshed.coordination.engine.EngineCostModel;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Simulates a load under each placement policy and prints a Markdown table of the results. Options set the number of
 * engines, the mix and the sizes of prompts.
 *
 * <pre>{@code
 * java -cp ... io.endiveshed.bench.placement.PlacementTool --engines 18 --long-rate 2.5
 * }</pre>
 *
 * <p>Exit code 0, or 2 for a wrong command line.
 */
public final class PlacementTool {
    private static final int USAGE_ERROR = 2;

    /** Cost model of the engines on the first users' platform. */
    private static final EngineCostModel COST_MODEL =
            new EngineCostModel(11, 405_000, 1.31, 0.0013, 0.00213, 154, 0.162, 2048, 34, 0.1);

    private PlacementTool() {}

    /** Simulates the load that the command line describes and prints the results. */
    public static void main(String[] arguments) {
        Options options = new Options();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            System.err.println("placement: " + e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_ERROR);
        }
        print(options, System.out);
    }

    /** Prints a row for each policy. */
    static void print(Options options, PrintStream out) {
        out.println("| policy | value | short on time | medium on time | long on time | refused |");
        out.println("| --- | --- | --- | --- | --- | --- |");
        for (String policy : PlacementPolicies.names()) {
            PlacementResult result = PlacementResult.mean(simulate(options, policy));
            out.println(String.format(
                    Locale.ROOT,
                    "| %s | %.3f | %.3f | %.3f | %.3f | %.3f |",
                    policy,
                    result.value(),
                    result.shortOnTime(),
                    result.mediumOnTime(),
                    result.longOnTime(),
                    result.refused()));
        }
    }

    /** Simulates a policy and returns the result of each run. */
    static List<PlacementResult> simulate(Options options, String policy) {
        LoadMix shortPhase = new LoadMix(options.shortRate, options.mediumRate * 0.4, options.longRate * 0.02);
        LoadMix longPhase = new LoadMix(options.shortRate * 0.13, options.mediumRate, options.longRate);
        return LongStream.range(options.seed, options.seed + options.runs)
                .parallel()
                .mapToObj(seed -> new AlternatingLoadSimulation(COST_MODEL, options.engines, options.topology(), seed)
                        .run(PlacementPolicies.create(policy, seed), shortPhase, longPhase, options.longSize))
                .toList();
    }

    /** Command-line options. */
    static final class Options {
        @Option(name = "--engines", usage = "number of engines")
        int engines = 21;

        @Option(name = "--short-rate", usage = "short prompts a second while they dominate; 0.13 of it otherwise")
        double shortRate = 75;

        @Option(name = "--medium-rate", usage = "medium prompts a second while long ones dominate; 0.4 of it otherwise")
        double mediumRate = 2.1;

        @Option(name = "--long-rate", usage = "long prompts a second while they dominate; 0.02 of it otherwise")
        double longRate = 2.1;

        @Option(name = "--long-size", usage = "factor of the size of long prompts")
        double longSize = 1;

        @Option(name = "--entries", usage = "number of entries, each of which knows its own placements first")
        int entries = 1;

        @Option(name = "--domains", usage = "number of failure domains of entries and engines")
        int domains = 1;

        @Option(name = "--delay-within", usage = "one-way delay within a failure domain in milliseconds")
        double delayWithinMillis;

        @Option(name = "--delay-between", usage = "one-way delay between failure domains in milliseconds")
        double delayBetweenMillis = 4.4;

        EntryTopology topology() {
            return new EntryTopology(entries, domains, delayWithinMillis, delayBetweenMillis);
        }

        @Option(name = "--runs", usage = "runs of 30 s whose mean is printed")
        int runs = 32;

        @Option(name = "--seed", usage = "seed of the first run; each further run adds 1")
        long seed = 20_261_204;
    }
}
