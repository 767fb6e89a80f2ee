package io.endiveshed.bench.policy;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.coordination.cost.LengthBand;
import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Checks the targets of section 1.2 of the design in virtual time, for both user organisations' sizes. */
final class PolicyTargetsTest {
    private static final int SECONDS = 120;
    private static final long SEED = 42;
    private static final int[] RUNNERS = {20, 25};

    /** Guards against changes that let short requests wait behind long ones or that pay for it with the long ones. */
    @Test
    void shortRequestsAreFastAndLongOnesNotMuchSlowerThanUnderLeastOutstanding() {
        for (int runners : RUNNERS) {
            Map<Policy, Figures> figures = new EnumMap<>(Policy.class);
            for (Policy policy : new Policy[] {Policy.LEAST_OUTSTANDING, Policy.SCHEDULED}) {
                figures.put(policy, run(policy, "normal", runners));
            }
            Figures baseline = figures.get(Policy.LEAST_OUTSTANDING);
            Figures scheduled = figures.get(Policy.SCHEDULED);
            assertThat(scheduled.shortSlowdown(99)).isAtMost(baseline.shortSlowdown(99) / 5);
            for (LengthBand band : new LengthBand[] {LengthBand.LONG, LengthBand.VERY_LONG}) {
                assertThat(scheduled.firstToken(band, 95)).isAtMost(1.25 * baseline.firstToken(band, 95));
            }
            assertThat(scheduled.firstTokenInTime()).isAtLeast(0.95);
        }
    }

    /** Guards against goodput that falls when more arrives than can be served. */
    @Test
    void goodputKeepsItsPlateauInOverload() {
        for (int runners : RUNNERS) {
            Figures full = run(Policy.SCHEDULED, "full", runners);
            Figures overload = run(Policy.SCHEDULED, "overload", runners);
            assertThat(overload.goodput()).isAtLeast(0.95 * full.goodput());
            assertThat(overload.goodputWork()).isAtLeast(0.95 * full.goodputWork());
            assertThat(overload.fairness()).isAtLeast(0.95);
        }
    }

    /** Guards against callers' retries that displace the work that could finish. */
    @Test
    void goodputKeepsItsPlateauInARetryStorm() {
        Figures full = run(Policy.SCHEDULED, "full", RUNNERS[0]);
        Figures storm = run(Policy.SCHEDULED, "retry-storm", RUNNERS[0]);
        assertThat(storm.goodput()).isAtLeast(0.95 * full.goodput());
        assertThat(storm.goodputWork()).isAtLeast(0.95 * full.goodputWork());
    }

    /** Guards against requests that are neither completed nor failed by their deadline. */
    @Test
    void everyRequestEndsByItsDeadlineUnderEveryFault() {
        for (Scenario scenario : Scenario.ALL) {
            Figures figures = run(Policy.SCHEDULED, scenario.name(), RUNNERS[0]);
            assertThat(figures.count(SimRequest.End.OPEN)).isEqualTo(0);
            assertThat(figures.arrivals()).isGreaterThan(0L);
        }
    }

    private static Figures run(Policy policy, String scenario, int runners) {
        return new World(policy, Scenario.named(scenario), runners, SECONDS, SEED).run();
    }
}
