package io.endiveshed.coordination.availability;

/**
 * Whether a target may get a request now.
 *
 * @param reason why it may not, or {@link Reason#AVAILABLE}
 * @param waitMillis time in milliseconds after which it may; 0 if it may now or if the time is not known
 */
public record TargetStatus(Reason reason, long waitMillis) {
    /** Status of a target that may get a request. */
    public static final TargetStatus AVAILABLE = new TargetStatus(Reason.AVAILABLE, 0);

    /** Reasons, from the one that matters least to the one that rules out all others. */
    public enum Reason {
        AVAILABLE("available"),
        RAMPING_UP("ramping up after a start or a recovery"),
        COLD("cold and at the rate that cold targets bear"),
        RATE_LIMITED("at the rate that their limits allow"),
        PAUSED("pausing"),
        EVACUATIONS_UNREAD("waiting until the evacuations have been read"),
        EVACUATED("in an evacuated failure domain"),
        LEAVING("leaving");

        private final String text;

        Reason(String text) {
            this.text = text;
        }

        /** Returns the reason as a part of a sentence whose subject is one or more targets. */
        public String text() {
            return text;
        }
    }

    /** Returns a status with the given reason; the wait may be 0 if it is not known. */
    public static TargetStatus unavailable(Reason reason, long waitMillis) {
        return new TargetStatus(reason, waitMillis);
    }

    /** Returns whether the target may get a request now. */
    public boolean isAvailable() {
        return reason == Reason.AVAILABLE;
    }

    /**
     * Returns whether the target gets no new work until further notice, while work that runs there goes on. Requests that
     * wait for such a target are placed elsewhere, as if they had never been placed there.
     */
    public boolean isWithdrawn() {
        return reason.compareTo(Reason.EVACUATIONS_UNREAD) >= 0;
    }

    /** Returns the status under both restrictions: the graver reason and the longer wait. */
    public TargetStatus and(TargetStatus other) {
        Reason graver = reason.compareTo(other.reason) >= 0 ? reason : other.reason;
        return new TargetStatus(graver, Math.max(waitMillis, other.waitMillis));
    }
}
