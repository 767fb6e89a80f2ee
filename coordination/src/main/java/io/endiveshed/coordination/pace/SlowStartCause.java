package io.endiveshed.coordination.pace;

/** Why a slow start begins. */
public enum SlowStartCause {
    /** The target was started while this entry runs. */
    STARTED("started"),
    /** The target was missing from the list and is back in the same incarnation. */
    RETURNED("returned to the list"),
    /** The target did not respond to this entry; its back-off ends. */
    NO_RESPONSE("no response"),
    /** The target has failed several of the last requests of this entry. */
    FAILURES("failures"),
    /** An answer to this entry came far later than predicted, and the answers of other targets did not. */
    SLOW_ANSWER("answer far later than predicted");

    private final String text;

    SlowStartCause(String text) {
        this.text = text;
    }

    /** Returns the cause as the cause of a change. */
    public String text() {
        return text;
    }

    /** Returns whether this entry has itself seen bad answers of the target. */
    boolean isOwnFailure() {
        return this != STARTED && this != RETURNED;
    }
}
