package io.endiveshed.gateway;

import io.endiveshed.base.id.ClientAccountId;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.service.Endpoint;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a request tells its target beside the caller's own words.
 *
 * @param target the only incarnation that may run it
 * @param remainingMillis time in milliseconds after which nobody waits for the answer
 * @param account client account of the caller
 * @param urgency rank within the target, 0 (first) to 9
 * @param helpers engines that read parts of the prompt
 * @param lastEventId last event that the caller has of a stream that is resumed
 */
public record ForwardingOptions(
        InstanceId target,
        long remainingMillis,
        Optional<ClientAccountId> account,
        int urgency,
        List<Helper> helpers,
        OptionalLong lastEventId) {
    /** Copies the list. */
    public ForwardingOptions {
        helpers = List.copyOf(helpers);
    }

    /**
     * An engine that reads a part of a prompt.
     *
     * @param endpoint where it listens
     * @param reservationId memory that was reserved on it for the prompt
     */
    public record Helper(Endpoint endpoint, Optional<String> reservationId) {}
}
