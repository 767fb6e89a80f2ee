package io.endiveshed.gateway;

import io.endiveshed.coordination.service.Endpoint;
import java.util.Optional;

/**
 * Status and decoded header fields of a target's answer.
 *
 * @param status HTTP status
 * @param notRun whether the target says that it did not run the request and never will
 * @param authentic whether the answer carries the target's signature
 * @param leaving whether the target closes the connection after it
 * @param load load that the target told
 * @param culprit engine that a failed request depended on
 */
public record AnswerHead(
        int status,
        boolean notRun,
        boolean authentic,
        boolean leaving,
        Optional<ReportedLoad> load,
        Optional<Endpoint> culprit) {
    /** Tells whether the request succeeded. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }

    /**
     * Load of a target when it answered.
     *
     * @param running requests that run
     * @param waiting requests that wait
     * @param slots requests that can run at once
     */
    public record ReportedLoad(int running, int waiting, int slots) {}
}
