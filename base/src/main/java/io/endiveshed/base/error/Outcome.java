package io.endiveshed.base.error;

import java.util.Locale;

/** What is known about whether a failed request ran. */
public enum Outcome {
    /** It is proved that the request did not run and never will. */
    NOT_RUN,
    /** The request may have run or may still run. */
    UNKNOWN,
    /** The request ran to its end, but the answer could not be delivered. */
    COMPLETED;

    /** Returns the name that callers see, such as {@code not_run}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
