package io.endiveshed.bench.placement;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Plays loads in virtual time with fixed seeds and checks what callers get. */
final class PlacementToolTest {
    /**
     * Plays a load in which short prompts dominate, then long ones, each for ten seconds, and compares what callers get
     * with that of the least loaded engine. Guards against a placement by which long prompts make short streams late.
     */
    @Test
    void alternatingLoadIsServedBetterThanByTheLeastLoadedEngine() {
        double placed = value("placer", 21);
        assertThat(placed).isGreaterThan(value("least-outstanding", 21) + 0.1);
        assertThat(placed).isAtLeast(0.75);
    }

    /** Guards against a placement that needs free engines: with three quarters of them no simple policy is better. */
    @Test
    void fewerEnginesAreUsedBetterThanByAnySimplePolicy() {
        double placed = value("placer", 16);
        for (String policy : Policies.names()) {
            if (!policy.equals("placer")) {
                assertThat(placed).isGreaterThan(value(policy, 16));
            }
        }
    }

    /** Guards against refusing short prompts while slots are free, as when long prompts occupy the engines. */
    @Test
    void fewAreRefusedUnderTheUsualLoad() {
        PlacementTool.Options options = options(21);
        PlacementResult result = PlacementResult.mean(PlacementTool.play(options, "placer"));
        assertThat(result.refused()).isLessThan(0.01);
    }

    @Test
    void tableHasARowForEachPolicy() {
        PlacementTool.Options options = options(4);
        options.runs = 1;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PlacementTool.print(options, new PrintStream(out, true, StandardCharsets.UTF_8));
        assertThat(out.toString(StandardCharsets.UTF_8).lines().count())
                .isEqualTo(2 + Policies.names().size());
    }

    private static double value(String policy, int engines) {
        return PlacementResult.mean(PlacementTool.play(options(engines), policy))
                .value();
    }

    private static PlacementTool.Options options(int engines) {
        PlacementTool.Options options = new PlacementTool.Options();
        options.engines = engines;
        options.runs = 4;
        return options;
    }
}
