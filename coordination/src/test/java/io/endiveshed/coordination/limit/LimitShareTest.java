package io.endiveshed.coordination.limit;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.endiveshed.base.id.InstanceId;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class LimitShareTest {
    private static final int FIRST_ENTRIES = 5;
    private static final InstanceId TARGET = new InstanceId("target-1");

    /** Requests that the operator accepts within 4 s. */
    private static double accepted(double limit) {
        return 1.5 * 4 * limit + 5;
    }

    /** Guards against entries that each keep to a limit and together exceed it while they come, go and cannot talk. */
    @ParameterizedTest
    @CsvSource({
        "5, 0.25",
        "5, 1",
        "5, 2.5",
        "5, 10",
        "27, 0.25",
        "27, 1",
        "27, 2.5",
        "27, 10",
        "27, 60",
        "390, 0.25",
        "390, 1",
        "390, 4",
        "390, 60"
    })
    void allEntriesTogetherKeepToTheLimitWhateverHappensToThem(int entries, double limit) {
        for (long seed = 1; seed <= (entries > 100 ? 2 : 20); seed++) {
            LimitSimulation simulation = new LimitSimulation(seed, limit, Math.min(entries, FIRST_ENTRIES));
            simulation.run(1_000);
            simulation.setNamesLimit(true);
            simulation.run(1_000);
            simulation.addEntries(entries - Math.min(entries, FIRST_ENTRIES));
            for (int i = 0; i < 40; i++) {
                disturb(simulation, entries);
                simulation.run(100 + simulation.random().nextInt(1_500));
            }
            assertWithMessage("seed %s", seed).that((double) simulation.most()).isAtMost(accepted(limit));
        }
    }

    static void disturb(LimitSimulation simulation, int entries) {
        Random random = simulation.random();
        List<InstanceId> ids = simulation.ids();
        int kind = random.nextInt(8);
        int count = random.nextInt(3) == 0 ? 1 + random.nextInt(ids.size()) : 1;
        if (kind == 0 && ids.size() < entries) {
            simulation.addEntries(Math.min(count, entries - ids.size()));
            return;
        }
        for (int i = 0; i < count; i++) {
            InstanceId id = ids.get(random.nextInt(ids.size()));
            if (!simulation.ids().contains(id)) {
                continue;
            }
            switch (kind) {
                case 1 -> simulation.start(id);
                case 2 -> killUnlessLast(simulation, id);
                case 3 -> simulation.freeze(id, 500 + random.nextInt(8_000));
                case 4 -> simulation.cutFromStore(id, 500 + random.nextInt(15_000));
                case 5 -> simulation.setGroup(id, 1);
                case 6 -> simulation.setGroup(id, 2 + random.nextInt(1_000));
                default -> simulation.setGroup(id, 0);
            }
        }
    }

    private static void killUnlessLast(LimitSimulation simulation, InstanceId id) {
        if (simulation.ids().size() > 2) {
            if (simulation.random().nextBoolean()) {
                simulation.kill(id);
            } else {
                simulation.remove(id);
            }
        }
    }

    /** Guards against five entries that are cut off from all and know nothing of 385 others that start. */
    @Test
    void entriesThatAreCutOffKeepToTheLimitBesideManyNewOnes() {
        for (double limit : new double[] {0.25, 1, 4, 30}) {
            LimitSimulation simulation = new LimitSimulation(7, limit, FIRST_ENTRIES);
            simulation.setNamesLimit(true);
            simulation.run(8_000);
            for (InstanceId id : simulation.ids()) {
                simulation.cutFromStore(id, 60_000);
                simulation.setGroup(id, 1);
            }
            simulation.addEntries(385);
            simulation.run(20_000);
            assertWithMessage("limit %s", limit)
                    .that((double) simulation.most())
                    .isAtMost(accepted(limit));
        }
    }

    /** Guards against a limit of which entries use next to nothing, also after two of five were killed. */
    @ParameterizedTest
    @CsvSource({"5, 1", "5, 10", "27, 1", "27, 10", "390, 2"})
    void entriesUseHalfOfALimit(int entries, double limit) {
        LimitSimulation simulation = new LimitSimulation(3, limit, entries);
        simulation.setNamesLimit(true);
        simulation.run(10_000);
        for (InstanceId id : simulation.ids().subList(0, entries * 2 / 5)) {
            simulation.kill(id);
        }
        simulation.run(10_000);
        int before = simulation.sent();
        simulation.run(40_000);
        assertThat(simulation.sent() - before).isAtLeast((int) (0.5 * limit * 40));
    }

    /** Guards against a limit that entries keep to after the target no longer names it, also those without a share. */
    @Test
    void endOfALimitReachesAllEntries() {
        LimitSimulation simulation = new LimitSimulation(5, 1, 27);
        simulation.setNamesLimit(true);
        simulation.run(10_000);
        simulation.setNamesLimit(false);
        simulation.run(10_000);
        int before = simulation.sent();
        simulation.run(10_000);
        assertThat(simulation.sent() - before).isAtLeast(27 * 9);
    }

    /** Guards against what an entry has heard that grows younger from entry to entry and outlives what is true. */
    @Test
    void limitThatIsNamedAgainSoonAfterItsEndIsKnownToAllAndKept() {
        for (long seed = 1; seed <= 10; seed++) {
            LimitSimulation simulation = new LimitSimulation(seed, 2, 27);
            simulation.setNamesLimit(true);
            simulation.run(10_000);
            for (int i = 0; i < 5; i++) {
                simulation.setNamesLimit(false);
                simulation.run(4_000);
                assertWithMessage("end, seed %s", seed)
                        .that(simulation.entriesWithLimit())
                        .isEqualTo(0);
                simulation.setNamesLimit(true);
                simulation.run(3_000);
                assertWithMessage("limit, seed %s", seed)
                        .that(simulation.entriesWithLimit())
                        .isEqualTo(27);
            }
        }
    }

    /** Guards against shares that move between entries that stay when one entry comes or goes. */
    @Test
    void oneEntryMoreChangesTheShareOfAtMostOneOther() {
        Set<InstanceId> entries = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            entries.add(new InstanceId("entry-" + i));
        }
        Set<InstanceId> more = new HashSet<>(entries);
        more.add(new InstanceId("entry-new"));
        long lost = entries.stream()
                .filter(entry -> LimitShare.of(4, TARGET, entry, entries).requestsPerSecond() > 0
                        && LimitShare.of(4, TARGET, entry, more).requestsPerSecond() == 0)
                .count();
        assertThat(lost).isAtMost(1);
    }
}
