package io.endiveshed.coordination.config;

import io.endiveshed.base.id.ModelName;
import java.time.Duration;
import java.util.List;

/**
 * A model that is offered.
 *
 * @param name name that callers write
 * @param defaultDeadline time allowed to a request that names no deadline
 * @param offerings places where the model is offered; empty for everywhere at all hours
 * @param engineChecksTokens whether the engines reject commands with an old fencing token; else the sidecar checks
 */
public record ModelConfig(
        ModelName name, Duration defaultDeadline, List<Offering> offerings, boolean engineChecksTokens) {
    /** Copies the list of places. */
    public ModelConfig {
        offerings = List.copyOf(offerings);
    }

    /** Makes a model that is offered everywhere at all hours, by engines that ignore fencing tokens. */
    public ModelConfig(ModelName name, Duration defaultDeadline) {
        this(name, defaultDeadline, List.of(), false);
    }
}
