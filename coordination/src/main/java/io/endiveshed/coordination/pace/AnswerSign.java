package io.endiveshed.coordination.pace;

/** What one answer, or its absence, says about whether its target bears more load. */
public enum AnswerSign {
    /** The answer began as predicted. */
    ON_TIME("answers on time"),
    /** The answer began much later than predicted. */
    SLOW("answer later than predicted"),
    /** The target reported requests that wait for a slot. */
    QUEUED("reported queue"),
    /** The target refused the request. */
    REFUSED("refused request"),
    /** The answer broke off, was an error, or did not come. */
    BROKEN("broken answer");

    /** Share of the prediction by which an answer may be later; half, because predictions ignore how passes align. */
    private static final double TOLERATED_SHARE = 0.5;

    /** Time in milliseconds by which an answer may be later in addition: one pass and the jitter of the network. */
    private static final double TOLERATED_MILLIS = 60;

    private final String text;

    AnswerSign(String text) {
        this.text = text;
    }

    /** Returns the sign as the cause of a change. */
    public String text() {
        return text;
    }

    /** Returns the sign of an answer that began after the given time; times in milliseconds. */
    public static AnswerSign ofFirstEvent(double predictedMillis, double actualMillis) {
        return actualMillis <= predictedMillis * (1 + TOLERATED_SHARE) + TOLERATED_MILLIS ? ON_TIME : SLOW;
    }
}
