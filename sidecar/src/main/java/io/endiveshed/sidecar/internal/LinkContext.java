package io.endiveshed.sidecar.internal;

import io.endiveshed.base.id.Incarnation;
import io.endiveshed.coordination.config.ConfigurationExchange;
import io.endiveshed.net.link.LinkDialer;
import io.endiveshed.sidecar.SidecarSettings;
import java.util.concurrent.ScheduledExecutorService;
import java.util.random.RandomGenerator;

/**
 * What all links of one sidecar share.
 *
 * @param settings settings of the sidecar
 * @param incarnation incarnation of the sidecar
 * @param dialer opens connections
 * @param timers runs reports and reconnections
 * @param random randomness for nonces and back-off
 * @param calls calls of the target
 * @param configuration configuration in force and its exchange with entries
 */
public record LinkContext(
        SidecarSettings settings,
        Incarnation incarnation,
        LinkDialer dialer,
        ScheduledExecutorService timers,
        RandomGenerator random,
        TargetCalls calls,
        ConfigurationExchange configuration) {}
