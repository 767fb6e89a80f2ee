package io.endiveshed.coordination.admission;

/**
 * Settings of {@link AdmissionController}.
 *
 * @param maxBacklogNanos predicted work on the best candidate above which very long and long requests are refused even
 *     if their deadline is later; bounds the time that work waits, in nanoseconds
 * @param fairShareBacklogNanos predicted work on the best candidate above which accounts over their share are refused,
 *     in nanoseconds
 * @param deadlineMargin factor on the predicted time before it is compared with the deadline
 */
public record AdmissionSettings(long maxBacklogNanos, long fairShareBacklogNanos, double deadlineMargin) {
    /** Settings that were best in measurements.md. */
    public static final AdmissionSettings DEFAULT = new AdmissionSettings(60_000_000_000L, 3_000_000_000L, 1.2);
}
