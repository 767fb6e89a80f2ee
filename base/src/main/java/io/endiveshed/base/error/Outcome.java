package io.endiveshed.base.error;

import java.util.Locale;

/** States whether a failed request ran, as far as it is known. */
public enum Outcome {
    /** The request did not run and will not run; this is certain. */
    NOT_RUN,
    /** The request may have run or may still run. */
    UNKNOWN,
    /** The request ran to completion, but the response could not be delivered. */
    COMPLETED;

    /** Returns the value in the response to the caller, such as {@code not_run}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
