package io.endiveshed.sidecar.internal;

import io.endiveshed.base.id.Incarnation;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.net.link.Dialer;
import io.endiveshed.sidecar.SidecarSettings;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.NanoClock;

/**
 * Objects that all links of a sidecar share.
 *
 * @param settings settings of the sidecar
 * @param incarnation incarnation of the sidecar
 * @param dialer dialer that opens connections
 * @param clock monotonic clock that the timers follow
 * @param timers executor for load reports, pings and reconnections
 * @param random random generator for nonces and back-off times
 * @param calls calls of the target
 * @param configuration exchange of configurations with entries
 */
public record LinkContext(
        SidecarSettings settings,
        Incarnation incarnation,
        Dialer dialer,
        NanoClock clock,
        ScheduledExecutorService timers,
        RandomGenerator random,
        TargetCalls calls,
        ConfigurationExchange configuration) {}
