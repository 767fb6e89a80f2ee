package io.endiveshed.coordination.config;

import io.endiveshed.base.id.ModelName;
import java.time.Duration;

/**
 * A model that is offered.
 *
 * @param name name that callers write
 * @param defaultDeadline time allowed to a request that names no deadline
 */
public record ModelConfig(ModelName name, Duration defaultDeadline) {}
