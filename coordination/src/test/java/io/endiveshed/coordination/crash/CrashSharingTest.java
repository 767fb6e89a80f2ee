package io.endiveshed.coordination.crash;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.crash.CrashSimulation.Options;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays a request that crashes targets at many entries that share what they know of it, in virtual time. */
final class CrashSharingTest {
    /** Arrivals that the operator accepts later than the contact window after the third crash. */
    private static final int ACCEPTED_ARRIVALS = 3;

    /** Share of the sound requests beside it that may be refused because of the crashes. */
    private static final double ACCEPTED_REFUSALS = 0.01;

    private static final int FIRST_ENTRIES = 5;

    /** Guards against a request that crashes targets again at entries that do not know what others have seen. */
    @ParameterizedTest
    @CsvSource({"5, 3, 40", "5, 21, 40", "33, 3, 20", "33, 21, 20", "390, 3, 1", "390, 60, 1"})
    void crashingRequestReachesFewTargetsWhateverHappensToTheEntries(int entries, int targets, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            CrashSimulation simulation = new CrashSimulation(seed, FIRST_ENTRIES, targets, new Options());
            simulation.run(CrashSimulation.FIRST_POISON_MILLIS / 2);
            simulation.addEntries(entries - FIRST_ENTRIES);
            simulation.run(CrashSimulation.FIRST_POISON_MILLIS / 2);
            for (int i = 0; i < (entries > 100 ? 12 : 40); i++) {
                disturb(simulation);
                simulation.run(100 + simulation.random().nextInt(2_000));
            }
            assertThatRulesAreKept(simulation, seed);
        }
    }

    private static void disturb(CrashSimulation simulation) {
        Random random = simulation.random();
        List<InstanceId> ids = simulation.ids();
        if (ids.isEmpty()) {
            return;
        }
        int kind = random.nextInt(11);
        int count = random.nextInt(3) == 0 ? 1 + random.nextInt(ids.size()) : 1;
        if (kind == 0) {
            simulation.restartAll();
            return;
        }
        if (kind == 1) {
            simulation.restoreStore();
            return;
        }
        for (int i = 0; i < count; i++) {
            InstanceId id = ids.get(random.nextInt(ids.size()));
            if (!simulation.ids().contains(id)) {
                continue;
            }
            switch (kind) {
                case 2 -> simulation.start(id);
                case 3 -> {
                    if (simulation.ids().size() > 2) {
                        simulation.kill(id);
                    }
                }
                case 4 -> simulation.freeze(id, 500 + random.nextInt(8_000));
                case 5 -> simulation.cutFromStore(id, 500 + random.nextInt(10_000));
                case 6 -> simulation.setGroup(id, 1);
                case 7, 8 -> simulation.setGroup(id, 2 + random.nextInt(1_000));
                case 9 -> simulation.stepClock(id, random.nextInt(4_000) - 2_000);
                default -> simulation.setGroup(id, 0);
            }
        }
    }

    /** Guards against entries that receive no datagrams of each other and do not learn what the others have stored. */
    @ParameterizedTest
    @CsvSource({"5, 3, 20", "33, 21, 20", "390, 60, 1"})
    void entriesThatCannotTalkLearnFromTheStore(int entries, int targets, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            CrashSimulation simulation = new CrashSimulation(seed, entries, targets, new Options().withoutDatagrams());
            simulation.run(CrashSimulation.FIRST_POISON_MILLIS + 40_000);
            assertThatRulesAreKept(simulation, seed);
        }
    }

    /** Guards against entries that are all started again, one of them after the other or at once, and know nothing. */
    @Test
    void entriesThatStartAgainKnowWhatTheOthersHaveStored() {
        for (long seed = 1; seed <= 20; seed++) {
            CrashSimulation simulation = new CrashSimulation(seed, 5, 21, new Options());
            simulation.run(CrashSimulation.FIRST_POISON_MILLIS + 5_000);
            int arrivals = simulation.poisonArrivals();
            for (int i = 0; i < 5; i++) {
                simulation.restartAll();
                simulation.run(5_000);
            }
            assertThatRulesAreKept(simulation, seed);
            assertWithMessage("arrivals after the restarts, seed %s", seed)
                    .that(simulation.poisonArrivals() - arrivals)
                    .isAtMost(ACCEPTED_ARRIVALS);
        }
    }

    /** Shows that the simulation notices entries that know only their own crashes. */
    @Test
    void entriesThatShareNothingBreakTheRule() {
        CrashSimulation simulation =
                new CrashSimulation(1, 33, 21, new Options().withoutDatagrams().withoutStore());
        simulation.run(CrashSimulation.FIRST_POISON_MILLIS + 40_000);
        assertThat(simulation.countedArrivals()).isGreaterThan(ACCEPTED_ARRIVALS);
    }

    /** Shows that the simulation notices entries that start where no datagrams reach them and do not read the store. */
    @Test
    void entriesThatStartAloneBreakTheRuleWithoutTheStore() {
        int broken = 0;
        for (long seed = 1; seed <= 10; seed++) {
            CrashSimulation simulation = new CrashSimulation(seed, 5, 21, new Options().withoutStore());
            simulation.run(CrashSimulation.FIRST_POISON_MILLIS + 5_000);
            simulation.addEntries(10);
            for (InstanceId id : simulation.ids()) {
                simulation.setGroup(id, simulation.random().nextInt(1_000));
            }
            simulation.run(CrashSimulation.FIRST_POISON_MILLIS + 40_000);
            broken += simulation.countedArrivals() > ACCEPTED_ARRIVALS ? 1 : 0;
        }
        assertThat(broken).isEqualTo(10);
    }

    /** Guards against crashes that have nothing to do with a request and cost sound ones or calls to the store. */
    @Test
    void crashesWithoutACauseInARequestCostNothing() {
        for (long seed = 1; seed <= 20; seed++) {
            CrashSimulation simulation = new CrashSimulation(seed, 5, 21, new Options().withoutPoison());
            simulation.run(120_000);
            assertWithMessage("sound requests refused, seed %s", seed)
                    .that(simulation.soundRefused())
                    .isEqualTo(0);
            assertWithMessage("calls to the store, seed %s, %s crashes", seed, simulation.crashes())
                    .that(simulation.storeWrites())
                    .isAtMost(simulation.crashes() / 10);
        }
    }

    private static void assertThatRulesAreKept(CrashSimulation simulation, long seed) {
        assertWithMessage("seed %s, %s arrivals", seed, simulation.poisonArrivals())
                .that(simulation.countedArrivals())
                .isAtMost(ACCEPTED_ARRIVALS);
        assertWithMessage("sound requests refused with seed %s, of %s", seed, simulation.soundRequests())
                .that((double) simulation.soundRefused())
                .isAtMost(ACCEPTED_REFUSALS * simulation.soundRequests());
    }
}
