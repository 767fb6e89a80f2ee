package io.endiveshed.gateway.internal;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class EarlyRequestsTest {
    private static final long MILLI = 1_000_000L;

    private final List<Integer> decided = new ArrayList<>();
    private boolean canServe;
    private final EarlyRequests early = new EarlyRequests(() -> canServe);

    /** Plays callers that reconnect right after a restart; guards against refusing all of them for want of a state. */
    @Test
    void requestsWaitForTheFirstStateInTheirOrder() {
        for (int i = 0; i < 20; i++) {
            int number = i;
            assertThat(early.hold(i * MILLI, () -> decided.add(number))).isTrue();
        }
        early.release(45 * MILLI);
        assertThat(decided).isEmpty();
        canServe = true;
        early.release(50 * MILLI);
        assertThat(decided).hasSize(20);
        assertThat(decided).isInOrder();
    }

    /** Guards against requests that are kept while the store is away; they are refused soon after they came. */
    @Test
    void requestIsDecidedAtTheEndOfItsWait() {
        early.hold(0, () -> decided.add(0));
        early.hold(150 * MILLI, () -> decided.add(1));
        early.release(200 * MILLI);
        assertThat(decided).containsExactly(0);
    }

    /** Guards against a flood of waiting requests that fills the memory of a small instance. */
    @Test
    void waitingRequestsAreBounded() {
        int held = 0;
        for (int i = 0; i < 10_000; i++) {
            held += early.hold(0, () -> {}) ? 1 : 0;
        }
        assertThat(held).isEqualTo(256);
    }

    /** Guards against requests that wait because all targets of a running entry have left. */
    @Test
    void nothingWaitsOnceTheEntryHasServed() {
        canServe = true;
        assertThat(early.hold(0, () -> {})).isFalse();
        canServe = false;
        assertThat(early.hold(0, () -> {})).isFalse();
    }
}
