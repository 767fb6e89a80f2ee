package io.endiveshed.coordination.pace;

import static com.google.common.truth.Truth.assertThat;

import java.util.function.DoubleUnaryOperator;
import java.util.function.LongFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays entries with a slow start each against one target, and broken variants that the same checks must catch. */
final class SlowStartFleetTest {

    /** Guards against entries that together keep more open at a target than it can run. */
    @ParameterizedTest
    @ValueSource(ints = {5, 28, 43})
    void entriesThatKnowOfEachOtherNeverOverfillATarget(int entries) {
        SimulatedFleet fleet = fleet(entries, true, SlowStartFleetTest::slowdownWhileCold, millis -> 0, new Restarted())
                .run(30, 20);
        assertThat(fleet.peakOpen()).isAtMost(6);
    }

    /** Guards against a slow start that goes on sending to a target whose answers are late. */
    @ParameterizedTest
    @ValueSource(ints = {5, 28, 43})
    void fewCallsAreLateAtATargetThatIsSlow(int entries) {
        int bad = fleet(entries, true, SlowStartFleetTest::slowdownWhileCold, millis -> 0, new Restarted())
                .run(30, 20)
                .bad();
        int badIfItNeverFalls = fleet(
                        entries, true, SlowStartFleetTest::slowdownWhileCold, millis -> 0, new NeverFalling())
                .run(30, 20)
                .bad();
        assertThat(bad).isAtMost(badIfItNeverFalls * 2 / 3);
    }

    /** Guards against entries that each send several calls to a target which breaks all of them. */
    @ParameterizedTest
    @ValueSource(ints = {5, 28, 43})
    void callsOfEntriesThatDoNotKnowOfEachOtherAreHeldBackFromABrokenTarget(int entries) {
        // Two at the begin, one at the limit of one, and one after each of the pauses of 0.25, 0.5, 1, 2 and 4 s.
        int bound = entries * 11;
        assertThat(fleet(entries, false, millis -> 1, SlowStartFleetTest::failuresForTwentySeconds, new Restarted())
                        .run(30, 20)
                        .bad())
                .isAtMost(bound);
        assertThat(fleet(entries, false, millis -> 1, SlowStartFleetTest::failuresForTwentySeconds, new NeverFalling())
                        .run(30, 20)
                        .bad())
                .isGreaterThan(bound);
    }

    /** Guards against a target that is left idle after it has recovered, since nothing is sent that could show it. */
    @ParameterizedTest
    @ValueSource(ints = {5, 28, 43})
    void targetThatHasRecoveredCarriesItsShareWithinTenSeconds(int entries) {
        assertThat(sentAfterRecovery(entries, new Restarted())).isAtLeast(0.9);
        assertThat(sentAfterRecovery(entries, new Starving())).isLessThan(0.9);
    }

    /** Guards against what was learned of one incarnation holding back the next one. */
    @ParameterizedTest
    @ValueSource(ints = {5, 28, 43})
    void nextIncarnationIsNotHeldBackByTheFailuresOfTheOneBefore(int entries) {
        assertThat(sentToTheNextIncarnation(entries, false)).isAtLeast(0.9);
        assertThat(sentToTheNextIncarnation(entries, true)).isLessThan(0.9);
    }

    /** Guards against a restriction of targets in normal service. */
    @ParameterizedTest
    @ValueSource(ints = {5, 28, 43})
    void targetThatHasNotStartedIsNotRestricted(int entries) {
        SimulatedFleet.GateFactory unrestricted =
                (slots, open) -> gate(new SlowStart(slots, open, 2, (cause, limit) -> {}));
        SimulatedFleet fleet = new SimulatedFleet(
                        entries, true, SlowStartFleetTest::slowdownWhileCold, millis -> 0, unrestricted)
                .run(30, 5);
        assertThat(fleet.peakOpen()).isGreaterThan(50);
    }

    private static double slowdownWhileCold(double millis) {
        return millis < 20_000 ? 8 : 1;
    }

    private static double failuresForTwentySeconds(double millis) {
        return millis < 20_000 ? 1 : 0;
    }

    /** Returns the share of the calls that are sent in the last 5 s of 15 s after a recovery. */
    private static double sentAfterRecovery(int entries, SimulatedFleet.GateFactory factory) {
        return fleet(entries, true, millis -> 1, SlowStartFleetTest::failuresForTwentySeconds, factory)
                .run(20, 35)
                .sentShare(30, 35);
    }

    /** Returns the share of the calls of one second that are sent after a target that broke all calls was restarted. */
    private static double sentToTheNextIncarnation(int entries, boolean keepsState) {
        SimulatedFleet.GateFactory next = (slots, open) -> {
            SlowStart before = started(slots, open);
            for (int answer = 0; answer < 8; answer++) {
                before.answered(AnswerSign.BROKEN, answer, answer);
            }
            return gate(keepsState ? before : started(slots, open));
        };
        return fleet(entries, true, millis -> 0.2, millis -> 0, next).run(20, 1).sentShare(0, 1);
    }

    private static SimulatedFleet fleet(
            int entries,
            boolean knowsOthers,
            DoubleUnaryOperator slowdown,
            DoubleUnaryOperator failureShare,
            SimulatedFleet.GateFactory factory) {
        return new SimulatedFleet(entries, knowsOthers, slowdown, failureShare, factory);
    }

    private static SlowStart started(int slots, LongFunction<OpenWork> openWork) {
        SlowStart slowStart = new SlowStart(slots, openWork, 2, (cause, limit) -> {});
        slowStart.begin(SlowStartCause.STARTED, 0);
        return slowStart;
    }

    private static SimulatedFleet.Gate gate(SlowStart slowStart) {
        return new SimulatedFleet.Gate() {
            @Override
            public boolean allows(long nowNanos) {
                return slowStart.status(nowNanos).isAvailable();
            }

            @Override
            public void answered(AnswerSign sign, long sentNanos, long nowNanos) {
                slowStart.answered(sign, sentNanos, nowNanos);
            }

            @Override
            public void endedElsewhere(long firstEventNanos, long endNanos, long nowNanos) {
                slowStart.endedElsewhere(firstEventNanos, endNanos, nowNanos);
            }
        };
    }

    /** The slow start of the product. */
    private static final class Restarted implements SimulatedFleet.GateFactory {
        @Override
        public SimulatedFleet.Gate create(int slots, LongFunction<OpenWork> openWork) {
            return gate(started(slots, openWork));
        }
    }

    /** Broken variant: bad answers do not lower the limit. */
    private static final class NeverFalling implements SimulatedFleet.GateFactory {
        @Override
        public SimulatedFleet.Gate create(int slots, LongFunction<OpenWork> openWork) {
            SimulatedFleet.Gate product = gate(started(slots, openWork));
            return new SimulatedFleet.Gate() {
                @Override
                public boolean allows(long nowNanos) {
                    return product.allows(nowNanos);
                }

                @Override
                public void answered(AnswerSign sign, long sentNanos, long nowNanos) {
                    product.answered(AnswerSign.ON_TIME, sentNanos, nowNanos);
                }

                @Override
                public void endedElsewhere(long firstEventNanos, long endNanos, long nowNanos) {
                    product.endedElsewhere(firstEventNanos, endNanos, nowNanos);
                }
            };
        }
    }

    /** Broken variant: after a bad answer the target gets nothing until an answer is on time. */
    private static final class Starving implements SimulatedFleet.GateFactory {
        @Override
        public SimulatedFleet.Gate create(int slots, LongFunction<OpenWork> openWork) {
            SimulatedFleet.Gate product = gate(started(slots, openWork));
            return new SimulatedFleet.Gate() {
                private boolean isBad;

                @Override
                public boolean allows(long nowNanos) {
                    return !isBad && product.allows(nowNanos);
                }

                @Override
                public void answered(AnswerSign sign, long sentNanos, long nowNanos) {
                    isBad = sign != AnswerSign.ON_TIME;
                    product.answered(sign, sentNanos, nowNanos);
                }

                @Override
                public void endedElsewhere(long firstEventNanos, long endNanos, long nowNanos) {
                    product.endedElsewhere(firstEventNanos, endNanos, nowNanos);
                }
            };
        }
    }
}
