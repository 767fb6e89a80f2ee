package io.endiveshed.coordination.admission;

/**
 * Settings of {@link AdmissionController}.
 *
 * @param maxBacklogNanos predicted wait on the chosen target above which requests are refused even if their deadline is
 *     later, in nanoseconds; limits how long work waits. It mostly refuses long and very long prompts, since shorter
 *     ones overtake the longer work
 * @param fairShareBacklogNanos predicted work on the chosen target above which requests of client accounts over their
 *     fair share are refused, in nanoseconds
 * @param deadlineMargin factor by which the predicted time is multiplied before it is compared with the deadline
 */
public record AdmissionSettings(long maxBacklogNanos, long fairShareBacklogNanos, double deadlineMargin) {
    /** Default settings: waits up to 15 s, fair shares from a backlog of 3 s, deadlines with a margin of 20 %. */
    public static final AdmissionSettings DEFAULT = new AdmissionSettings(15_000_000_000L, 3_000_000_000L, 1.2);
}
