package io.endiveshed.sidecar.internal;

import io.endiveshed.base.id.Incarnation;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.net.link.Dialer;
import io.endiveshed.sidecar.SidecarSettings;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;
import org.agrona.concurrent.NanoClock;

/**
 * What all links of one sidecar share.
 *
 * @param settings settings of the sidecar
 * @param incarnation incarnation of the sidecar
 * @param dialer opens connections
 * @param clock monotonic clock of the timers
 * @param timers runs reports and reconnections
 * @param random randomness for nonces and back-off
 * @param calls calls of the target
 * @param configuration configuration in force and its exchange with entries
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
