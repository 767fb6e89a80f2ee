package io.endiveshed.coordination.readiness;

import java.util.Optional;

/**
 * Readiness of a process to serve requests: a configuration is in effect, at least one target is known and the process
 * is not stopping.
 *
 * <pre>{@code
 * new Readiness(configuration.isKnown(), !targets.isEmpty(), stopping).reasonNotReady().ifPresent(log::info);
 * }</pre>
 *
 * @param hasConfiguration whether a configuration is in effect
 * @param hasTarget whether at least one target may get requests
 * @param isStopping whether the process is about to stop
 */
public record Readiness(boolean hasConfiguration, boolean hasTarget, boolean isStopping) {
    /** Returns whether requests can be served. */
    public boolean isReady() {
        return reasonNotReady().isEmpty();
    }

    /** Returns the reason why requests cannot be served, or empty if they can. */
    public Optional<String> reasonNotReady() {
        if (isStopping) {
            return Optional.of("the process is stopping");
        }
        if (!hasConfiguration) {
            return Optional.of("no configuration is in effect yet");
        }
        return hasTarget ? Optional.empty() : Optional.of("no target is known yet");
    }
}
