package io.endiveshed.coordination.pace;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.coordination.availability.TargetStatus;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class SlowStartTest {
    private static final long MILLI = 1_000_000;

    private final List<String> changes = new ArrayList<>();
    private OpenWork open = new OpenWork(0, 0);
    private final SlowStart slowStart =
            new SlowStart(4, now -> open, 2, (cause, limit) -> changes.add(cause + ": " + (int) limit));

    /** Guards against prompts that pile up on a target which is far from its number of requests. */
    @Test
    void promptWorkIsLimitedAsWellAsTheNumberOfRequests() {
        slowStart.begin(SlowStartCause.STARTED, 0);
        open = new OpenWork(1, 100);
        assertThat(slowStart.status(0).isAvailable()).isTrue();
        open = new OpenWork(1, 300);
        assertThat(slowStart.status(0).reason()).isEqualTo(TargetStatus.Reason.RAMPING_UP);
    }

    /** Guards against a target that gets nothing because the first prompts are long. */
    @Test
    void idleTargetGetsOneRequestHoweverMuchItWasPredictedToRead() {
        slowStart.begin(SlowStartCause.STARTED, 0);
        open = new OpenWork(0, 9_000);
        assertThat(slowStart.status(0).isAvailable()).isTrue();
    }

    /** Guards against a slow start that never ends, and against an end before the target has run all its slots. */
    @Test
    void endsOnceAnswersOnTimeHaveOpenedAllSlots() {
        slowStart.begin(SlowStartCause.STARTED, 0);
        answers(AnswerSign.ON_TIME, 3, 10);
        assertThat(slowStart.isActive()).isTrue();
        answers(AnswerSign.ON_TIME, 1, 20);
        assertThat(slowStart.isActive()).isFalse();
        assertThat(changes)
                .containsExactly("started: 2", "answers on time: 3", "answers on time: 4", "answers on time: 0")
                .inOrder();
    }

    /** Guards against several late answers of one moment that count as several reasons to halve the limit. */
    @Test
    void answersToRequestsSentBeforeAFallDoNotLowerTheLimitAgain() {
        slowStart.begin(SlowStartCause.STARTED, 0);
        answers(AnswerSign.ON_TIME, 2, 10);
        slowStart.answered(AnswerSign.SLOW, 20 * MILLI, 100 * MILLI);
        slowStart.answered(AnswerSign.SLOW, 21 * MILLI, 101 * MILLI);
        assertThat(slowStart.requestLimit()).isEqualTo(2);
    }

    /** Guards against answers of before a start that open or close the target anew. */
    @Test
    void answersToRequestsSentBeforeTheBeginSayNothing() {
        slowStart.begin(SlowStartCause.FAILURES, 100 * MILLI);
        slowStart.answered(AnswerSign.ON_TIME, 50 * MILLI, 110 * MILLI);
        slowStart.answered(AnswerSign.BROKEN, 50 * MILLI, 120 * MILLI);
        assertThat(slowStart.requestLimit()).isEqualTo(2);
    }

    /** Guards against a pause that grows without a bound and keeps a recovered target idle. */
    @Test
    void pausesBetweenBadAnswersGrowToFourSecondsAndNoFurther() {
        slowStart.begin(SlowStartCause.STARTED, 0);
        long now = 0;
        long longest = 0;
        for (int i = 0; i < 40; i++) {
            now += MILLI;
            slowStart.answered(AnswerSign.REFUSED, now, now);
            long wait = slowStart.status(now).waitMillis();
            assertThat(wait).isAtLeast(longest);
            longest = wait;
            now += wait * MILLI;
            assertThat(slowStart.status(now).isAvailable()).isTrue();
        }
        assertThat(longest).isEqualTo(4_000);
    }

    /** Guards against a reported queue that is ignored, or an idle target's report that counts as a queue. */
    @Test
    void reportedQueueLowersTheLimit() {
        slowStart.begin(SlowStartCause.STARTED, 0);
        slowStart.loadReported(new ReportedLoad(1, 0, 4), MILLI, 2 * MILLI);
        assertThat(slowStart.requestLimit()).isEqualTo(2);
        slowStart.loadReported(new ReportedLoad(4, 1, 4), MILLI, 2 * MILLI);
        assertThat(slowStart.requestLimit()).isEqualTo(1);
    }

    /** Guards against requests of other entries that failed or whose callers left and that count as answered. */
    @Test
    void onlyEndingsOfOthersThatFitThePredictionCount() {
        slowStart.begin(SlowStartCause.STARTED, 0);
        slowStart.endedElsewhere(100 * MILLI, 900 * MILLI, 50 * MILLI);
        slowStart.endedElsewhere(100 * MILLI, 900 * MILLI, 2_000 * MILLI);
        assertThat(slowStart.requestLimit()).isEqualTo(2);
        slowStart.endedElsewhere(100 * MILLI, 900 * MILLI, 700 * MILLI);
        assertThat(slowStart.requestLimit()).isEqualTo(3);
    }

    /** Guards against a target that fails part of its requests and is opened by what others make of it. */
    @Test
    void endingsOfOthersDoNotCountOnceThisEntryHasSeenTheTargetFail() {
        slowStart.begin(SlowStartCause.FAILURES, 0);
        slowStart.endedElsewhere(100 * MILLI, 900 * MILLI, 700 * MILLI);
        assertThat(slowStart.requestLimit()).isEqualTo(2);
        answers(AnswerSign.ON_TIME, 1, 800);
        assertThat(slowStart.requestLimit()).isWithin(0.001).of(2.5);
    }

    /** Guards against a connection that fails and thereby ends the pause of a target that is restricted already. */
    @Test
    void failureWhileTheTargetIsRestrictedCountsAsABadAnswer() {
        slowStart.begin(SlowStartCause.STARTED, 0);
        slowStart.begin(SlowStartCause.NO_RESPONSE, MILLI);
        assertThat(slowStart.requestLimit()).isEqualTo(1);
        slowStart.begin(SlowStartCause.NO_RESPONSE, 2 * MILLI);
        assertThat(slowStart.status(2 * MILLI).waitMillis()).isEqualTo(250);
    }

    private void answers(AnswerSign sign, int count, long millis) {
        for (int i = 0; i < count; i++) {
            slowStart.answered(sign, millis * MILLI, millis * MILLI);
        }
    }
}
