package io.endiveshed.verification.history;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.verification.history.History.Answered;
import io.endiveshed.verification.history.History.Asked;
import io.endiveshed.verification.history.History.Ending;
import io.endiveshed.verification.history.History.Executed;
import io.endiveshed.verification.history.History.Leftover;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a checker that passes every history: each check must report its planted violation and no other. */
final class HistoryCheckerTest {
    private static final long DEADLINE_MILLIS = 1_000;
    private static final String EXPECTED = "request-1 3:xxx.";
    private static final String KEYED_PREFIX = "key-1 body-0 3:xxx.";

    private final History history = new History();

    @Test
    void acceptsHistoryWithoutViolation() {
        ask("request-1", "", EXPECTED);
        run("request-1", "");
        answer(1, "request-1", Ending.WHOLE, "", EXPECTED);
        ask("request-2", "key-1", KEYED_PREFIX);
        run("request-2", "key-1");
        answer(1, "request-2", Ending.WHOLE, "", KEYED_PREFIX + "run a 1.");
        ask("request-3", "key-1", KEYED_PREFIX);
        answer(1, "request-3", Ending.ERROR, "not_run", "");

        assertThat(HistoryChecker.violations(history)).isEmpty();
    }

    @Test
    void reportsSecondExecutionOfKey() {
        run("request-1", "key-1");
        run("request-2", "key-1");

        reports("key key-1 was executed more than once");
    }

    @Test
    void reportsExecutionAfterNotRun() {
        ask("request-1", "", EXPECTED);
        answer(1, "request-1", Ending.ERROR, "not_run", "");
        run("request-1", "");

        reports("request request-1 was executed and answered not_run");
    }

    @Test
    void reportsTruncatedAnswerShownAsWhole() {
        ask("request-1", "", EXPECTED);
        answer(1, "request-1", Ending.WHOLE, "", "request-1 3:xx");

        reports("request request-1 got an answer that is not whole or not its own");
    }

    @Test
    void reportsAnswerOfAnotherRequest() {
        ask("request-1", "", EXPECTED);
        answer(1, "request-1", Ending.WHOLE, "", "request-2 3:xxx.");

        reports("request request-1 got an answer that is not whole or not its own");
    }

    @Test
    void reportsTruncatedAnswerOfKeyShownAsWhole() {
        ask("request-1", "key-1", KEYED_PREFIX);
        answer(1, "request-1", Ending.WHOLE, "", KEYED_PREFIX + "run");

        reports("request request-1 got an answer that is not whole or not its own");
    }

    @Test
    void reportsRequestWithoutAnswer() {
        ask("request-1", "", EXPECTED);

        reports("request request-1 was never answered");
    }

    @Test
    void reportsSecondAnswer() {
        ask("request-1", "", EXPECTED);
        answer(1, "request-1", Ending.WHOLE, "", EXPECTED);
        answer(2, "request-1", Ending.WHOLE, "", EXPECTED);

        reports("request request-1 was answered twice");
    }

    @Test
    void reportsAnswerAfterDeadline() {
        ask("request-1", "", EXPECTED);
        long late = DEADLINE_MILLIS + HistoryChecker.BOUND.toMillis() + 1;
        answer(late, "request-1", Ending.ERROR, "unknown", "");

        reports("request request-1 ended after its deadline");
    }

    @Test
    void reportsDifferentAnswersOfOneKey() {
        ask("request-1", "key-1", KEYED_PREFIX);
        answer(1, "request-1", Ending.WHOLE, "", KEYED_PREFIX + "run a 1.");
        ask("request-2", "key-1", KEYED_PREFIX);
        answer(1, "request-2", Ending.WHOLE, "", KEYED_PREFIX + "run b 1.");

        reports("key key-1 got two different answers");
    }

    @Test
    void reportsWhatIsLeftOver() {
        history.add(new Leftover(0, "memory of engine a"));

        reports("left over: memory of engine a");
    }

    private void reports(String violation) {
        assertThat(HistoryChecker.violations(history)).isEqualTo(List.of(violation));
    }

    private void ask(String request, String key, String expected) {
        history.add(new Asked(0, request, key, expected, DEADLINE_MILLIS));
    }

    private void run(String request, String key) {
        history.add(new Executed(0, "a", request, key));
    }

    private void answer(long atMillis, String request, Ending ending, String outcome, String body) {
        history.add(new Answered(TimeUnit.MILLISECONDS.toNanos(atMillis), request, ending, outcome, body));
    }
}
