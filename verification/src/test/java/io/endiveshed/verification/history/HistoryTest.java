package io.endiveshed.verification.history;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards the guarantees of design.md section 1.1 against faults of links, processes, targets and the store. */
final class HistoryTest {
    private static final long FIRST_SEED = Long.getLong("history.seed", 1);
    private static final long SCHEDULES = Long.getLong("history.schedules", 4_500);
    private static final int SHOWN_FAILURES = 5;

    @Test
    void everyScheduleKeepsTheGuarantees() {
        List<String> failures = LongStream.range(FIRST_SEED, FIRST_SEED + SCHEDULES)
                .parallel()
                .mapToObj(HistoryTest::failure)
                .filter(text -> !text.isEmpty())
                .toList();

        assertWithMessage(
                        "%s of %s schedules from seed %s failed; replay one with -Dhistory.seed=<seed>"
                                + " -Dhistory.schedules=1:\n%s",
                        failures.size(),
                        SCHEDULES,
                        FIRST_SEED,
                        String.join("\n", failures.subList(0, Math.min(SHOWN_FAILURES, failures.size()))))
                .that(failures)
                .isEmpty();
    }

    private static String failure(long seed) {
        try {
            History history = Scenario.run(seed);
            List<String> violations = HistoryChecker.violations(history);
            String shown = SCHEDULES == 1 ? "\n" + history : "";
            return violations.isEmpty() ? "" : "seed " + seed + ": " + violations + shown;
        } catch (RuntimeException | AssertionError e) {
            return "seed " + seed + ": " + e + " caused by " + e.getCause();
        }
    }
}
