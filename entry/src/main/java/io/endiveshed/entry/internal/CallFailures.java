package io.endiveshed.entry.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.coordination.routing.RoutingRequest;
import io.endiveshed.protocol.Message;
import java.time.Duration;

/** Failures with which calls end. */
final class CallFailures {
    private static final Duration RETRY_WITHOUT_TARGET = Duration.ofSeconds(2);

    private CallFailures() {}

    static Failure of(Message.AttemptFailed failed) {
        Failure.Builder failure =
                Failure.of(failed.kind()).message(failed.message()).outcome(failed.outcome());
        if (failed.retryAfterMillis() > 0) {
            failure.retryAfter(Duration.ofMillis(failed.retryAfterMillis()));
        }
        return failure.build();
    }

    static Failure outOfOrder(long offset, long expected) {
        return Failure.of(ErrorKind.PROTOCOL_ERROR)
                .message("response bytes at " + offset + " instead of " + expected + " or before the head")
                .outcome(Outcome.UNKNOWN)
                .build();
    }

    static Failure noTarget(RoutingRequest routing) {
        return Failure.of(ErrorKind.NO_TARGET)
                .message("no live target serves " + routing.name())
                .retryAfter(RETRY_WITHOUT_TARGET)
                .build();
    }

    static Failure deadlineExceeded(CallPlan plan) {
        return Failure.of(ErrorKind.DEADLINE_EXCEEDED)
                .message("no whole answer within " + plan.deadlineMillis() + " ms")
                .outcome(Outcome.UNKNOWN)
                .build();
    }

    static Failure callerGone() {
        return Failure.of(ErrorKind.CANCELLED).outcome(Outcome.UNKNOWN).build();
    }

    /** Returns the failure with outcome unknown if it says not run, because an earlier attempt may have run. */
    static Failure possiblyRun(Failure failure) {
        if (failure.outcome() != Outcome.NOT_RUN) {
            return failure;
        }
        Failure.Builder changed = Failure.of(failure.kind())
                .message(failure.message())
                .remedy(failure.remedy())
                .outcome(Outcome.UNKNOWN);
        failure.retryAfter().ifPresent(changed::retryAfter);
        return changed.build();
    }
}
