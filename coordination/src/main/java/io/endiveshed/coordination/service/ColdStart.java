package io.endiveshed.coordination.service;

import java.time.Duration;

/**
 * How the targets of a service start.
 *
 * @param duration time for which a target that starts during traffic is cold; zero if never
 * @param requestsPerSecond requests a second that a cold target can handle from all entries; 0 if there is no limit
 */
public record ColdStart(Duration duration, double requestsPerSecond) {
    /** Longest time for which a target counts as cold; longer ones are taken for faults of the object that names them. */
    public static final Duration MAX_DURATION = Duration.ofMinutes(10);

    /** Targets that are never limited because they are cold. */
    public static final ColdStart NONE = new ColdStart(Duration.ZERO, 0);

    /** Returns whether cold targets may get only so many requests. */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }
}
