package io.endiveshed.coordination.admission;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.coordination.cost.LengthBand;
import org.junit.jupiter.api.Test;

/** Checks who is over the share at the start of a burst. */
final class FairShareTest {
    private static final ClientAccountId LONE = new ClientAccountId("lone");
    private static final long WORK_NANOS = 10_000_000_000L;
    private static final long STEP_NANOS = 6_000_000L;
    private static final int REQUESTS = 10;

    private long now = 1;

    /** Guards against a level from before a burst that refuses an account which competes with nobody. */
    @Test
    void loneAccountIsNeverOverItsShare() {
        FairShare share = new FairShare(() -> now);
        for (int i = 0; i < REQUESTS; i++) {
            share.demanded(LONE, 1, WORK_NANOS);
            assertThat(share.isOverShare(LONE, 1, LengthBand.VERY_LONG)).isFalse();
            share.accepted(LONE, 1, WORK_NANOS);
            now += STEP_NANOS;
        }
    }

    /** Guards against a share that an account takes from another that asks for its part. */
    @Test
    void accountThatUsedMoreThanItsPartIsOverItsShare() {
        FairShare share = new FairShare(() -> now);
        ClientAccountId other = new ClientAccountId("other");
        share.demanded(LONE, 1, 10 * WORK_NANOS);
        share.accepted(LONE, 1, 9 * WORK_NANOS);
        share.demanded(other, 1, 10 * WORK_NANOS);
        share.accepted(other, 1, WORK_NANOS);
        now += STEP_NANOS;
        assertThat(share.isOverShare(LONE, 1, LengthBand.VERY_LONG)).isTrue();
        assertThat(share.isOverShare(other, 1, LengthBand.VERY_LONG)).isFalse();
    }
}
