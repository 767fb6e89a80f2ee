package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs entries that share their feeds in virtual time. */
final class FeedSharingTest {
    /** Time of a change and of a call that is in progress, which are not distinguished within one step. */
    private static final long STEP_TOLERANCE_MILLIS = 10;

    /** Time in which a desired state must be in force and a leaving target gets no new requests. */
    private static final long BOUND_MILLIS = 3_000;

    /** Time that an object of 1 MB takes on a link of 9.8 Mbit/s. */
    private static final long LARGE_TRANSFER_MILLIS = 860;

    /** Age beyond which unknown routes and keys are not rejected (bound for desired states plus 0.5 s). */
    private static final long MAX_AGE_MILLIS = 2_500;

    /** Age of the targets without sharing: two watches, of which the second has not returned yet. */
    private static final long MAX_TARGETS_AGE_MILLIS =
            2 * FeedPaces.targets(SharingSimulation.BOUNDS).watchTimeout().toMillis() + 100;

    /** Guards against knowledge that sharing makes younger than it is, whatever happens to entries and datagrams. */
    @ParameterizedTest
    @ValueSource(ints = {5, 28, 43, 100})
    void knowledgeIsNeverYoungerThanItCanBe(int entries) {
        for (long seed = 1; seed <= (entries > 50 ? 1 : 4); seed++) {
            SharingSimulation simulation = started(entries, seed);
            simulation.maxNetworkDelayMillis = 4_000;
            for (int i = 0; i < 60; i++) {
                disturb(simulation);
                simulation.stores.get(simulation.random.nextInt(2)).put("object-" + simulation.random.nextInt(5));
                for (long end = simulation.nowMillis + simulation.random.nextInt(1_000); simulation.nowMillis < end; ) {
                    simulation.run(20);
                    assertWithMessage("seed %s, step %s", seed, i)
                            .that(simulation.underestimatedMillis())
                            .isAtMost(STEP_TOLERANCE_MILLIS);
                }
            }
        }
    }

    /** Guards against the answer to a watch that replaces what another entry has told meanwhile by older content. */
    @Test
    void contentNeverGoesBack() {
        SharingSimulation simulation = started(14, 1);
        for (int i = 0; i < 400; i++) {
            simulation.stores.get(simulation.random.nextInt(2)).put("object-" + simulation.random.nextInt(3));
            simulation.run(simulation.random.nextInt(200));
            if (i % 20 == 0) {
                readers(simulation).forEach(reader -> reader.freeze(2_500));
            }
        }
        for (SharingSimulation.Entry entry : simulation.entries) {
            assertThat(entry.known.get(0).regressions + entry.known.get(1).regressions)
                    .isEqualTo(0);
        }
    }

    private static void disturb(SharingSimulation simulation) {
        List<SharingSimulation.Entry> entries = simulation.entries;
        SharingSimulation.Entry entry = entries.get(simulation.random.nextInt(entries.size()));
        switch (simulation.random.nextInt(9)) {
            case 0 -> entry.freeze(simulation.random.nextInt(6_000));
            case 1 -> readers(simulation).forEach(reader -> reader.freeze(simulation.random.nextInt(6_000)));
            case 2 -> entry.isKilled = true;
            case 3 -> entry.start();
            case 4 -> entry.isCut = !entry.isCut;
            case 5 -> readers(simulation).forEach(reader -> reader.isCut = simulation.random.nextBoolean());
            case 6 -> entry.group = simulation.random.nextInt(3);
            case 7 -> simulation.isStoreDown = !simulation.isStoreDown;
            default -> simulation.maxNetworkDelayMillis = simulation.random.nextBoolean() ? 4_000 : 2;
        }
    }

    /** Guards against an entry that goes on waiting for a reader which is frozen. */
    @ParameterizedTest
    @ValueSource(ints = {5, 9, 28, 43, 100})
    void boundsHoldWhileReadersAreFrozen(int entries) {
        assertBoundsHold(entries, reader -> reader.freeze(20_000));
    }

    /** Guards against an entry that goes on waiting for a reader which has ended. */
    @ParameterizedTest
    @ValueSource(ints = {5, 9, 28, 43, 100})
    void boundsHoldAfterReadersWereKilled(int entries) {
        assertBoundsHold(entries, reader -> reader.isKilled = true);
    }

    /** Guards against an entry that relies on a reader which has lost the store. */
    @ParameterizedTest
    @ValueSource(ints = {5, 9, 28, 43, 100})
    void boundsHoldWhileReadersAreCutOffFromTheStore(int entries) {
        assertBoundsHold(entries, reader -> reader.isCut = true);
    }

    /** Guards against an entry that goes on waiting for a reader which it cannot hear. */
    @ParameterizedTest
    @ValueSource(ints = {5, 9, 28, 43, 100})
    void boundsHoldWhileReadersAreCutOffFromTheirPeers(int entries) {
        assertBoundsHold(entries, reader -> reader.group = 1);
    }

    /** Disturbs all readers at once, then those that follow them, at different times after their last calls. */
    private static void assertBoundsHold(int entries, Consumer<SharingSimulation.Entry> disturbance) {
        for (long seed = 1; seed <= 3; seed++) {
            SharingSimulation simulation = started(entries, seed);
            simulation.run(3_000 + seed * 170);
            simulation.resetCounts();
            readers(simulation).forEach(disturbance);
            for (int i = 0; i < 10; i++) {
                simulation.run(100 + simulation.random.nextInt(700));
                simulation.stores.get(simulation.random.nextInt(2)).put("object-" + i);
            }
            simulation.run(BOUND_MILLIS);
            for (SharingSimulation.Entry entry : simulation.entries) {
                if (entry.isRunning() && !entry.isCut) {
                    assertWithMessage("delay at %s, seed %s", entry.id, seed)
                            .that(entry.maxDelayMillis)
                            .isAtMost(BOUND_MILLIS - 500);
                    assertWithMessage("age of the desired state at %s, seed %s", entry.id, seed)
                            .that(entry.maxAgeMillis[SharingSimulation.CATALOG])
                            .isAtMost(MAX_AGE_MILLIS);
                    assertWithMessage("age of the targets at %s, seed %s", entry.id, seed)
                            .that(entry.maxAgeMillis[SharingSimulation.TARGETS])
                            .isAtMost(MAX_TARGETS_AGE_MILLIS);
                }
            }
        }
    }

    /** Guards against entries that begin to read a large desired state only after a reader has read all of it. */
    @ParameterizedTest
    @ValueSource(ints = {5, 9, 28, 43, 100})
    void largeChangeIsInForceAfterOneTransfer(int entries) {
        for (long seed = 1; seed <= 3; seed++) {
            SharingSimulation simulation = startedOnNarrowLinks(entries, seed);
            for (int i = 0; i < 10; i++) {
                simulation.stores.get(SharingSimulation.CATALOG).put("main");
                simulation.run(3_000 + simulation.random.nextInt(700));
            }
            assertWithMessage("seed %s", seed)
                    .that(simulation.maxDelayMillis())
                    .isLessThan(LARGE_TRANSFER_MILLIS * 3 / 2);
        }
    }

    /** Guards against entries that fall behind while large changes follow each other faster than they can be read. */
    @ParameterizedTest
    @ValueSource(ints = {5, 9, 28, 43, 100})
    void largeChangesInQuickSuccessionAreInForceInTime(int entries) {
        for (long seed = 1; seed <= 3; seed++) {
            SharingSimulation simulation = startedOnNarrowLinks(entries, seed);
            for (int i = 0; i < 24; i++) {
                simulation.stores.get(SharingSimulation.CATALOG).put("main");
                simulation.run(i == 11 ? BOUND_MILLIS : 330);
            }
            simulation.run(BOUND_MILLIS);
            assertWithMessage("seed %s", seed).that(simulation.maxDelayMillis()).isAtMost(BOUND_MILLIS - 500);
        }
    }

    private static SharingSimulation startedOnNarrowLinks(int entries, long seed) {
        SharingSimulation simulation = started(entries, seed);
        simulation.transferMillis = LARGE_TRANSFER_MILLIS;
        simulation.run(3_000 + seed * 170);
        simulation.resetCounts();
        return simulation;
    }

    /** Guards against sharing that spares no calls, and against entries that call more often because of it. */
    @ParameterizedTest
    @ValueSource(ints = {28, 43, 100})
    void entriesCallTheStoreLessOften(int entries) {
        SharingSimulation simulation = started(entries, 1);
        simulation.run(5_000);
        assertThat(readers(simulation)).hasSize(6);
        simulation.resetCounts();
        simulation.run(20_000);
        assertThat(simulation.calls / 20.0 / entries).isAtMost(1.0);
    }

    /** Guards against a call of each entry for each change of a target or of the desired state. */
    @ParameterizedTest
    @ValueSource(ints = {28, 43, 100})
    void changesAreToldWithoutCalls(int entries) {
        SharingSimulation simulation = started(entries, 1);
        simulation.run(5_000);
        simulation.resetCounts();
        for (int i = 0; i < 200; i++) {
            simulation.stores.get(SharingSimulation.CATALOG).put("main");
            if (i % 10 == 0) {
                simulation.stores.get(SharingSimulation.TARGETS).put("target-" + i % 7);
            }
            simulation.run(100);
        }
        assertThat(simulation.calls / 20.0 / entries).isAtMost(1.2);
        assertThat(simulation.maxDelayMillis()).isAtMost(1_000);
    }

    /** Guards against a small deployment whose only reader calls more often than its entries do alone. */
    @Test
    void smallDomainsAreFollowedAsBefore() {
        SharingSimulation simulation = started(5, 1);
        SharingSimulation alone = new SharingSimulation(5, false, 1);
        simulation.run(20_000);
        alone.run(20_000);
        assertThat(readers(simulation)).isEmpty();
        assertThat(simulation.calls).isEqualTo(alone.calls);
    }

    /** Guards against objects that stay unknown after any order of outages, changes and returns to copies. */
    @Test
    void objectsAreKnownAfterAnyScheduleOfOutagesAndReturns() {
        for (long seed = 1; seed <= 10; seed++) {
            SharingSimulation simulation = started(14, seed);
            for (int i = 0; i < 30; i++) {
                SharingSimulation.Store store = simulation.stores.get(simulation.random.nextInt(2));
                switch (simulation.random.nextInt(4)) {
                    case 0 -> simulation.isStoreDown = !simulation.isStoreDown;
                    case 1 ->
                        simulation.stores.forEach(
                                each -> each.restore(simulation.random.nextInt(each.changes.size() + 1)));
                    case 2 -> disturb(simulation);
                    default -> store.put("object-" + simulation.random.nextInt(8));
                }
                simulation.run(simulation.random.nextInt(1_500));
            }
            simulation.isStoreDown = false;
            simulation.entries.forEach(entry -> entry.isCut = false);
            simulation.run(12_000);
            for (SharingSimulation.Entry entry : simulation.entries) {
                for (int feed = 0; feed < 2 && entry.isRunning(); feed++) {
                    assertWithMessage("%s, seed %s", entry.id, seed)
                            .that(entry.known.get(feed).content)
                            .isEqualTo(simulation.stores.get(feed).content());
                }
            }
        }
    }

    private static SharingSimulation started(int entries, long seed) {
        SharingSimulation simulation = new SharingSimulation(entries, true, seed);
        simulation.run(100);
        return simulation;
    }

    private static List<SharingSimulation.Entry> readers(SharingSimulation simulation) {
        return simulation.entries.stream()
                .filter(SharingSimulation.Entry::isReader)
                .toList();
    }
}
