package io.endiveshed.coordination.config;

import io.endiveshed.base.id.ModelName;
import java.time.Duration;
import java.util.List;

/**
 * Configuration of a model.
 *
 * @param name name of the model in the requests of callers
 * @param defaultDeadline time limit of a request that names no deadline
 * @param offerings locations and hours at which the model is offered; empty for all locations at all hours
 * @param engineChecksTokens whether the engines reject orders with an old fencing token; if not, the sidecars check
 */
public record ModelConfig(
        ModelName name, Duration defaultDeadline, List<Offering> offerings, boolean engineChecksTokens) {
    /** Creates a model with an unmodifiable copy of the offerings. */
    public ModelConfig {
        offerings = List.copyOf(offerings);
    }

    /** Creates a model that is offered at all locations and hours, by engines that ignore fencing tokens. */
    public ModelConfig(ModelName name, Duration defaultDeadline) {
        this(name, defaultDeadline, List.of(), false);
    }
}
