package io.endiveshed.entry.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.error.Outcome;
import io.endiveshed.coordination.routing.RoutingRequest;
import io.endiveshed.protocol.Message;
import java.time.Duration;

/** Failures with which calls end. */
final class CallFailures {
    private static final Duration NO_TARGET_RETRY_AFTER = Duration.ofSeconds(2);

    private CallFailures() {}

    static Failure fromMessage(Message.AttemptFailed failed) {
        Failure.Builder failure =
                Failure.of(failed.kind()).message(failed.message()).outcome(failed.outcome());
        if (failed.retryAfterMillis() > 0) {
            failure.retryAfter(Duration.ofMillis(failed.retryAfterMillis()));
        }
        return failure.build();
    }

    static Failure outOfOrderBody(long offset, long expected) {
        return Failure.of(ErrorKind.PROTOCOL_ERROR)
                .message("response bytes at " + offset + " instead of " + expected + " or before the head")
                .outcome(Outcome.UNKNOWN)
                .build();
    }

    static Failure noTarget(RoutingRequest routing) {
        return Failure.of(ErrorKind.NO_TARGET)
                .message("no live target serves " + routing.name())
                .retryAfter(NO_TARGET_RETRY_AFTER)
                .build();
    }

    static Failure deadlineExceeded(CallSpec spec) {
        return Failure.of(ErrorKind.DEADLINE_EXCEEDED)
                .message("no whole answer within " + spec.deadlineMillis() + " ms")
                .outcome(Outcome.UNKNOWN)
                .build();
    }

    static Failure callerDisconnected() {
        return Failure.of(ErrorKind.CANCELLED).outcome(Outcome.UNKNOWN).build();
    }

    /** Returns the failure with another outcome. */
    static Failure withOutcome(Failure failure, Outcome outcome) {
        Failure.Builder changed =
                Failure.of(failure.kind()).message(failure.message()).outcome(outcome);
        failure.retryAfter().ifPresent(changed::retryAfter);
        return changed.build();
    }

    /** Returns the failure with outcome unknown if it says not run, because an earlier attempt may have run. */
    static Failure withNotRunAsUnknown(Failure failure) {
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
