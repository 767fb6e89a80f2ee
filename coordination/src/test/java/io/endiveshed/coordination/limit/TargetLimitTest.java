package io.endiveshed.coordination.limit;

import static com.google.common.truth.Truth.assertThat;

import io.endiveshed.base.id.InstanceId;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class TargetLimitTest {
    private static final InstanceId SELF = new InstanceId("entry-1");
    private static final InstanceId TARGET = new InstanceId("target-1");

    private final TargetLimit limit = new TargetLimit();

    /** Guards against an answer to an older request that ends a limit which was named since. */
    @Test
    void answerToARequestSentBeforeTheLimitWasNamedDoesNotEndIt() {
        limit.observeLimit(1, seconds(10));
        assertThat(limit.observeNoLimit(seconds(9))).isFalse();
        assertThat(limit.requestsPerSecond().isPresent()).isTrue();
        assertThat(limit.observeNoLimit(seconds(11))).isTrue();
        assertThat(limit.requestsPerSecond().isPresent()).isFalse();
    }

    /** Guards against permits that pile up while a process is suspended or idle. */
    @Test
    void permitsDoNotPileUp() {
        limit.observeLimit(1, seconds(0));
        limit.setShare(LimitShare.of(1, TARGET, SELF, Set.of(SELF)), seconds(0));
        int granted = 0;
        while (limit.tryAcquire(seconds(100))) {
            granted++;
        }
        assertThat(granted).isEqualTo(3);
    }

    /** Guards against a caller that is told to return before a request may be sent. */
    @Test
    void requestMayBeSentAfterTheWait() {
        limit.observeLimit(2, seconds(0));
        limit.setShare(LimitShare.of(2, TARGET, SELF, Set.of(SELF)), seconds(0));
        assertThat(limit.allowsRequest(seconds(0))).isFalse();
        long wait = limit.waitMillis(seconds(0));
        assertThat(limit.tryAcquire(TimeUnit.MILLISECONDS.toNanos(wait))).isTrue();
        assertThat(limit.waitMillis(TimeUnit.MILLISECONDS.toNanos(wait))).isGreaterThan(0L);
    }

    /** Guards against a target that takes no requests at all and is never asked again. */
    @Test
    void targetThatTakesNothingGetsARequestNowAndThen() {
        limit.observeLimit(0, seconds(0));
        limit.setShare(LimitShare.of(limit.requestsPerSecond().getAsDouble(), TARGET, SELF, Set.of(SELF)), seconds(0));
        assertThat(limit.allowsRequest(seconds(5))).isFalse();
        assertThat(limit.allowsRequest(seconds(20))).isTrue();
    }

    /** Guards against an entry without a share that sends, or that refuses its callers for no time at all. */
    @Test
    void entryWithoutAShareSendsNothing() {
        limit.observeLimit(1, seconds(0));
        limit.setShare(LimitShare.NONE, seconds(0));
        assertThat(limit.allowsRequest(seconds(60))).isFalse();
        assertThat(limit.waitMillis(seconds(60))).isGreaterThan(1_000L);
    }

    private static long seconds(long value) {
        return TimeUnit.SECONDS.toNanos(value);
    }
}
