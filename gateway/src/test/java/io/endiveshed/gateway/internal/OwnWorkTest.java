package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.InstanceId;
import java.util.List;
import org.junit.jupiter.api.Test;

final class OwnWorkTest {
    private static final long MILLI = 1_000_000L;

    private final OwnWork work = new OwnWork();

    /** Guards against a restarted entry that is told of times as they were when the work was placed. */
    @Test
    void tellsWhatIsLeftOfOpenWork() {
        work.started(notice(1, 400, 1_000), 0);
        WorkNotice told = work.notices(700 * MILLI).get(0);
        assertThat(told.number()).isEqualTo(1);
        assertThat(told.readMillis()).isEqualTo(300.0);
        assertThat(told.firstEventMillis()).isEqualTo(300.0);
        assertThat(told.endMillis()).isEqualTo(1_300.0);
        assertThat(told.firstEventLimitMillis()).isEqualTo(800.0);
        assertThat(told.abandonMillis()).isEqualTo(2_300.0);
        assertThat(told.memoryTokens()).isEqualTo(9_000);
    }

    /** Guards against engines that seem to read prompts that they have read already. */
    @Test
    void needsNoMoreReadingAfterTheFirstEvent() {
        work.started(notice(1, 400, 1_000), 0);
        assertThat(work.notices(1_200 * MILLI).get(0).readMillis()).isEqualTo(0.0);
    }

    /** Guards against engines that seem full because of work that has ended. */
    @Test
    void forgetsWorkThatHasEnded() {
        work.started(notice(1, 400, 1_000), 0);
        work.started(notice(2, 400, 1_000), 0);
        work.ended(1);
        List<WorkNotice> told = work.notices(0);
        assertThat(told).hasSize(1);
        assertThat(told.get(0).number()).isEqualTo(2);
    }

    static WorkNotice notice(long number, double readMillis, double firstEventMillis) {
        return new WorkNotice(
                number,
                List.of(new InstanceId("engine-1")),
                readMillis,
                firstEventMillis,
                firstEventMillis + 1_000,
                firstEventMillis + 500,
                firstEventMillis + 2_000,
                250,
                18_000,
                9_000,
                0,
                0);
    }
}
