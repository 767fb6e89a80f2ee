package io.endiveshed.net.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests when a response counts as lost, by the time, the last part and the size of its body. */
final class ResponseTimeoutsTest {
    private static final int MEGABYTE = 1_000_000;
    private static final ResponseTimeouts TIMEOUTS =
            new ResponseTimeouts(Duration.ofMillis(700), Duration.ofMillis(700), 50_000);

    /** Guards against a silent server that is noticed later because large bodies may take longer. */
    @Test
    void silentServerIsNoticedAtTheTimeout() {
        assertThat(remainingMillis(TIMEOUTS, 0, 0, 0)).isEqualTo(700);
        assertThat(remainingMillis(TIMEOUTS, 700, 700, 0)).isAtMost(0);
    }

    /** Guards against a body that is given up and requested again although it arrives all the time. */
    @Test
    void bodyThatArrivesGetsMoreTime() {
        assertThat(remainingMillis(TIMEOUTS, 700, 1, 860_000)).isEqualTo(699);
        assertThat(remainingMillis(TIMEOUTS, 5_000, 10, MEGABYTE)).isEqualTo(690);
    }

    /** Guards against a server that stops within a body and is noticed later than one that never begins. */
    @Test
    void serverThatStopsWithinABodyIsNoticedAfterOnePause() {
        assertThat(remainingMillis(TIMEOUTS, 1_700, 700, MEGABYTE)).isAtMost(0);
        assertThat(remainingMillis(TIMEOUTS, 700, 600, 100_000)).isEqualTo(100);
    }

    /** Guards against a server that holds a call for ever with single bytes. */
    @Test
    void bodyBelowTheMinimumRateIsGivenUp() {
        assertThat(remainingMillis(TIMEOUTS, 700, 1, 1)).isAtMost(0);
        assertThat(remainingMillis(TIMEOUTS, 2_700, 1, 100_000)).isAtMost(0);
        assertThat(remainingMillis(TIMEOUTS, 2_600, 1, 100_000)).isEqualTo(100);
    }

    @Test
    void responseWithAFixedTimeoutGetsNoMoreTime() {
        ResponseTimeouts fixed = ResponseTimeouts.fixed(Duration.ofMillis(400));
        assertThat(remainingMillis(fixed, 399, 0, MEGABYTE)).isEqualTo(1);
        assertThat(remainingMillis(fixed, 400, 0, MEGABYTE)).isAtMost(0);
    }

    @Test
    void negativeTimeoutIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> ResponseTimeouts.fixed(Duration.ofMillis(-1)));
    }

    private static long remainingMillis(ResponseTimeouts timeouts, long elapsedMillis, long idleMillis, long bytes) {
        return TimeUnit.NANOSECONDS.toMillis(timeouts.remainingNanos(
                TimeUnit.MILLISECONDS.toNanos(elapsedMillis), TimeUnit.MILLISECONDS.toNanos(idleMillis), bytes));
    }
}
