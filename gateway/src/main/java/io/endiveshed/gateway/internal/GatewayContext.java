package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.retry.AttemptBudget;
import io.endiveshed.coordination.service.AccessPolicy;
import io.endiveshed.coordination.service.Endpoint;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.gateway.RequestDialect;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Objects shared by all requests of a gateway.
 *
 * @param loop event loop on which requests run
 * @param dialect header fields of the platform
 * @param catalog desired state in force
 * @param catalogAgeMillis time in milliseconds since the desired state was last confirmed
 * @param targetsAgeMillis time in milliseconds since the list of targets was last confirmed
 * @param access access check for routes and keys
 * @param enginePicker picks the targets of model services
 * @param plainPicker picks the targets of plain services
 * @param targetAt finds the target that listens on an address
 * @param limits limits that targets name
 * @param cold targets that are cold
 * @param budgets retry budget of each service
 * @param crashes targets that crash, and the requests under which they do
 * @param responseMemory memory of incomplete responses
 * @param embeddedResponses recognizes responses within the bodies of others
 * @param metrics counters and histograms
 * @param log structured log
 */
record GatewayContext(
        EventLoop loop,
        RequestDialect dialect,
        AtomicValue<ServiceCatalog> catalog,
        LongSupplier catalogAgeMillis,
        LongSupplier targetsAgeMillis,
        AccessPolicy access,
        TargetPicker enginePicker,
        TargetPicker plainPicker,
        Function<Endpoint, Optional<TargetRuntime>> targetAt,
        RequestLimits limits,
        ColdTargets cold,
        Function<ServiceName, AttemptBudget> budgets,
        CrashMonitor crashes,
        ResponseMemory responseMemory,
        EmbeddedResponses embeddedResponses,
        GatewayMetrics metrics,
        EventLog log) {}
