package io.endiveshed.coordination.pace;

import io.endiveshed.coordination.availability.RequestGate;
import io.endiveshed.coordination.availability.TargetStatus;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/**
 * Slow start of one incarnation of a target. Restricts nothing until {@link #begin} is called because the target has
 * started or recovered. From then on the target gets as many requests as its answers show that it bears, until it bears
 * all that its slots allow. Confined to one thread; times are those of a monotonic clock in nanoseconds.
 *
 * <p>The limit applies to the work of all entries that this entry knows of. So dozens of entries that each allow a few
 * requests do not add up, without an exchange of shares, and an entry that sees few answers itself learns from the
 * requests of others that it saw end.
 *
 * <pre>{@code
 * SlowStart slowStart = new SlowStart(8, now -> openWork(now), 2, listener);
 * slowStart.begin(SlowStartCause.STARTED, nowNanos);
 * if (slowStart.status(nowNanos).isAvailable()) {
 *     // Place a request, then report its first event:
 *     slowStart.answered(AnswerSign.ofFirstEvent(predictedMillis, actualMillis), placedNanos, nowNanos);
 * }
 * }</pre>
 */
public final class SlowStart implements RequestGate {
    /** Pause in milliseconds after a bad answer at the smallest limit; doubles with each further one. */
    private static final long INITIAL_PAUSE_MILLIS = 250;

    /** Longest pause in milliseconds; a target that has recovered is found within this time. */
    private static final long MAX_PAUSE_MILLIS = 4_000;

    /** Answers on time, without a bad one between them, that end the slow start of a target of any size. */
    private static final int MIN_ANSWERS_ON_TIME = 4;

    private final int slots;
    private final LongFunction<OpenWork> openWork;
    private final int initialRequests;
    private final ChangeListener listener;
    private AdaptiveConcurrencyLimit limit;
    private int answersOnTime;
    private int badAnswersAtMinimum;
    private long fellNanos;
    private boolean hasFallen;
    private boolean isPausing;
    private long pauseEndNanos;

    /**
     * Creates the slow start of a target that is not restricted yet.
     *
     * @param slots number of requests that the target runs at once
     * @param openWork returns the unfinished work on the target at a time in nanoseconds
     * @param initialRequests requests that the target may have open at the begin
     * @param listener notified of each change of the limit
     */
    public SlowStart(int slots, LongFunction<OpenWork> openWork, int initialRequests, ChangeListener listener) {
        this.slots = slots;
        this.openWork = openWork;
        this.initialRequests = initialRequests;
        this.listener = listener;
    }

    /**
     * Begins to restrict the target. If it is restricted already, a failure counts as a bad answer, and any other cause
     * begins anew.
     */
    public void begin(SlowStartCause cause, long nowNanos) {
        if (limit != null && cause.isOwnFailure()) {
            fall(cause.text(), nowNanos);
            return;
        }
        limit = new AdaptiveConcurrencyLimit(initialRequests, slots, cause.isOwnFailure());
        answersOnTime = 0;
        isPausing = false;
        // Answers to requests that were sent before say nothing about the target as it is now.
        fellNanos = nowNanos;
        hasFallen = true;
        changed(cause.text());
    }

    /** Returns whether the target is restricted at present. */
    public boolean isActive() {
        return limit != null;
    }

    /** Returns the number of requests that the target may have open; 0 if it is not restricted. */
    public double requestLimit() {
        return limit == null ? 0 : limit.requests();
    }

    @Override
    public TargetStatus status(long nowNanos) {
        if (limit == null) {
            return TargetStatus.AVAILABLE;
        }
        long pauseNanos = isPausing ? pauseEndNanos - nowNanos : 0;
        if (pauseNanos > 0) {
            long pauseMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(pauseNanos));
            return TargetStatus.unavailable(TargetStatus.Reason.RAMPING_UP, pauseMillis);
        }
        return limit.allowsOneMore(openWork.apply(nowNanos))
                ? TargetStatus.AVAILABLE
                : TargetStatus.unavailable(TargetStatus.Reason.RAMPING_UP, 0);
    }

    /**
     * Records what an answer says.
     *
     * @param sign what it says
     * @param placedNanos time at which its request was placed on the target
     * @param nowNanos time of the answer
     */
    public void answered(AnswerSign sign, long placedNanos, long nowNanos) {
        if (limit == null || (hasFallen && placedNanos - fellNanos < 0)) {
            return;
        }
        if (sign == AnswerSign.ON_TIME) {
            grow();
        } else {
            fall(sign.text(), nowNanos);
        }
    }

    /** Records the load that the target reported with an answer to a request placed at the given time. */
    public void loadReported(ReportedLoad load, long placedNanos, long nowNanos) {
        if (load.waiting() > 0) {
            answered(AnswerSign.QUEUED, placedNanos, nowNanos);
        }
    }

    /**
     * Records that a request which another entry had placed here has ended. One that lasted beyond its predicted first
     * event, but no longer than predicted, was most likely answered on time. Any other end says nothing: its caller may
     * have left. As this is weak evidence, it does not count at a limit at which this entry itself saw bad answers lately.
     *
     * @param firstEventNanos predicted time of its first event; one before the last bad answer does not count
     * @param endNanos predicted time of its end
     */
    public void endedElsewhere(long firstEventNanos, long endNanos, long nowNanos) {
        if (limit == null) {
            return;
        }
        if (TimeUnit.NANOSECONDS.toMillis(nowNanos - fellNanos) >= MAX_PAUSE_MILLIS) {
            limit.forgetBadAnswers();
        }
        if (limit.isBelowThreshold() && nowNanos - firstEventNanos >= 0 && nowNanos - endNanos <= 0) {
            answered(AnswerSign.ON_TIME, firstEventNanos, nowNanos);
        }
    }

    private void grow() {
        double before = limit.requests();
        limit.grow();
        answersOnTime++;
        badAnswersAtMinimum = 0;
        if (limit.isAtMaximum() && answersOnTime >= MIN_ANSWERS_ON_TIME) {
            limit = null;
            changed(AnswerSign.ON_TIME.text());
        } else if (Math.floor(limit.requests()) > Math.floor(before)) {
            changed(AnswerSign.ON_TIME.text());
        }
    }

    private void fall(String cause, long nowNanos) {
        boolean wasAtMinimum = limit.requests() <= AdaptiveConcurrencyLimit.MIN_REQUESTS;
        limit.fall();
        answersOnTime = 0;
        fellNanos = nowNanos;
        hasFallen = true;
        if (wasAtMinimum) {
            long pauseMillis = Math.min(MAX_PAUSE_MILLIS, INITIAL_PAUSE_MILLIS << Math.min(badAnswersAtMinimum, 8));
            badAnswersAtMinimum++;
            isPausing = true;
            pauseEndNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
        }
        changed(cause);
    }

    private void changed(String cause) {
        listener.changed(cause, requestLimit());
    }

    /** Is notified of changes of the limit. */
    @FunctionalInterface
    public interface ChangeListener {
        /**
         * Called after a change.
         *
         * @param cause why the limit changed
         * @param requestLimit number of requests that the target may have open; 0 if it is no longer restricted
         */
        void changed(String cause, double requestLimit);
    }
}
