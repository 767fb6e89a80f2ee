package io.endiveshed.coordination.limit;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.limit.LimitSimulation.Fault;
import io.endiveshed.coordination.service.ColdReading;
import io.endiveshed.coordination.service.ColdStart;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Cold targets and many entries in virtual time, with the figures of deployment H unless a test names others. */
final class ColdStartTest {
    private static final int FIRST_ENTRIES = 5;
    private static final ColdStart RULE = new ColdStart(Duration.ofSeconds(60), 28);
    private static final ColdBounds BOUNDS = new ColdBounds(1.5, 5);
    private static final int MOST = 47;
    private static final InstanceId TARGET = new InstanceId("target-1");

    /** Guards against entries that together exceed the rate while they join, leave, freeze and lose contact. */
    @ParameterizedTest
    @CsvSource({"5, 28", "28, 28", "43, 28", "28, 4", "43, 300"})
    void allEntriesTogetherKeepToTheRateWhateverHappensToThem(int entries, double rate) {
        ColdStart rule = new ColdStart(RULE.duration(), rate);
        for (long seed = 1; seed <= 40; seed++) {
            LimitSimulation simulation = new LimitSimulation(seed, 1, FIRST_ENTRIES, BOUNDS);
            simulation.run(3_000);
            simulation.startCold(rule, Fault.NONE);
            simulation.run(1_000);
            simulation.addEntries(entries - FIRST_ENTRIES);
            for (int i = 0; i < 40; i++) {
                LimitShareTest.disturb(simulation, entries);
                simulation.run(100 + simulation.random().nextInt(1_500));
            }
            assertWithMessage("seed %s", seed).that(simulation.mostWhileCold()).isAtMost((int) BOUNDS.perSecond(rate));
        }
    }

    /** Guards against a simulation that would not notice the faults for which it was written. */
    @ParameterizedTest
    @CsvSource({"5", "28", "43"})
    void brokenVariantsExceedTheRate(int entries) {
        for (Fault fault : Fault.values()) {
            LimitSimulation simulation = new LimitSimulation(1, 1, 1, BOUNDS);
            simulation.run(3_000);
            simulation.startCold(RULE, fault);
            simulation.run(2_000);
            for (int i = 1; i < entries; i++) {
                simulation.addEntries(1);
                simulation.run(800);
            }
            // One group may use no more than half, as another one may know nothing of it.
            boolean isGroupWithinHalf = simulation.mostWhileCold() <= MOST / 2;
            for (InstanceId id : simulation.ids().subList(0, FIRST_ENTRIES - 1)) {
                simulation.cutFromStore(id, 60_000);
                simulation.setGroup(id, Integer.parseInt(id.value().substring("entry-".length())));
            }
            simulation.run(30_000);
            boolean areAllWithinBound = simulation.mostWhileCold() <= MOST;
            assertWithMessage("%s", fault)
                    .that(isGroupWithinHalf && areAllWithinBound)
                    .isEqualTo(fault == Fault.NONE);
        }
    }

    /** Guards against a part of the bound that is too large for two groups which know nothing of each other. */
    @ParameterizedTest
    @CsvSource({"28", "43"})
    void twoGroupsThatBothDivideTheWholeKeepToTheRate(int entries) {
        LimitSimulation simulation = new LimitSimulation(7, 1, FIRST_ENTRIES, BOUNDS);
        simulation.run(3_000);
        simulation.startCold(RULE, Fault.NONE);
        simulation.run(2_000);
        for (InstanceId id : simulation.ids()) {
            simulation.cutFromStore(id, 60_000);
            simulation.setGroup(id, 1);
        }
        simulation.addEntries(entries - FIRST_ENTRIES);
        simulation.run(20_000);
        assertThat(simulation.mostWhileCold()).isAtMost(MOST);
        assertThat(simulation.mostWhileCold()).isGreaterThan(MOST * 3 / 4);
    }

    /** Guards against a divided rate of which the entries that have load may use only a small part. */
    @ParameterizedTest
    @CsvSource({"5", "28", "43"})
    void entriesUseMostOfTheDividedRate(int entries) {
        LimitSimulation simulation = new LimitSimulation(3, 1, entries, BOUNDS);
        simulation.run(5_000);
        simulation.startCold(RULE, Fault.NONE);
        simulation.run(3_000);
        int before = simulation.sent();
        simulation.run(20_000);
        assertThat(simulation.sent() - before).isAtLeast((int) (0.7 * MOST / 2 * 20));
    }

    /** Guards against a cold time that starts anew with each reading of an unchanged object, or that a copy shortens. */
    @Test
    void coldTimeCountsFromTheFirstReadingOfWhatWasWritten() {
        ColdStartGate gate = new ColdStartGate(TARGET, () -> RULE);
        gate.observeStored(new ColdReading(4_000, seconds(10)), 7, true);
        gate.observeStored(new ColdReading(4_000, seconds(12)), 7, false);
        assertThat(gate.remainingMillis(seconds(12))).isEqualTo(2_000L);
        gate.observeStored(new ColdReading(0, seconds(12)), 5, false);
        assertThat(gate.isCold(seconds(13))).isTrue();
        gate.observeResponse(5_000, seconds(13));
        assertThat(gate.remainingMillis(seconds(13))).isEqualTo(5_000L);
        assertThat(gate.isCold(seconds(18))).isFalse();
        gate.observeStored(new ColdReading(4_000, seconds(20)), 8, true);
        assertThat(gate.isCold(seconds(20))).isTrue();
        gate.observeStored(new ColdReading(0, seconds(21)), 9, true);
        assertThat(gate.isCold(seconds(21))).isFalse();
    }

    /** Guards against requests at full rate to a target that was away and may be back without having been read. */
    @Test
    void targetThatWasUnreachableCountsAsColdUntilItHasAnsweredForItsColdTime() {
        ColdStartGate gate = new ColdStartGate(TARGET, () -> RULE);
        gate.observeUnreachable(seconds(1));
        assertThat(gate.isCold(seconds(80))).isTrue();
        gate.observeAnswer(seconds(80));
        assertThat(gate.isCold(seconds(139))).isTrue();
        assertThat(gate.isCold(seconds(141))).isFalse();
        gate.observeUnreachable(seconds(200));
        assertThat(gate.ownRemainingMillis(seconds(200))).isEqualTo(0L);
        assertThat(gate.isCold(seconds(291))).isFalse();
    }

    /** Guards against limits for services that have none. */
    @Test
    void serviceWithoutARateIsNotLimited() {
        ColdStartGate gate = new ColdStartGate(TARGET, () -> ColdStart.NONE);
        gate.observeStart(seconds(1));
        gate.observeResponse(60_000, seconds(1));
        gate.observeUnreachable(seconds(1));
        assertThat(gate.status(seconds(1)).isAvailable()).isTrue();
    }

    private static long seconds(long value) {
        return TimeUnit.SECONDS.toNanos(value);
    }
}
