package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.pace.SlowStartCause;
import io.endiveshed.coordination.pace.SpeedReference;
import io.endiveshed.coordination.service.TargetInstance;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/** Begins the slow start of targets that appear in the list, and reports its changes. Confined to one event loop. */
final class SlowStarts {
    /** Maximum number of incarnations that are recognized when they return; about twice the targets of a large fleet. */
    private static final int MAX_KNOWN = 512;

    /**
     * First limit of an engine. Two, since the next request would have to wait for the end of the first one otherwise;
     * it applies to all entries together, because entries notify each other of their prompts.
     */
    private static final int INITIAL_ENGINE_REQUESTS = 2;

    /** First limit of a target of a plain service, whose open requests no other entry knows. */
    private static final int INITIAL_PLAIN_REQUESTS = 1;

    private final Predicate<ServiceName> isModelService;
    private final LongSupplier nanoClock;
    private final GatewayMetrics metrics;
    private final EventLog log;
    private final Map<ServiceName, SpeedReference> references = new HashMap<>();
    private final Set<TargetStart> known = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetStart, Boolean> eldest) {
            return size() > MAX_KNOWN;
        }
    });

    /**
     * Creates an instance that knows no target.
     *
     * @param isModelService whether a service runs on engines
     */
    SlowStarts(Predicate<ServiceName> isModelService, LongSupplier nanoClock, GatewayMetrics metrics, EventLog log) {
        this.isModelService = isModelService;
        this.nanoClock = nanoClock;
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Prepares a target that has appeared in the list.
     *
     * @param target the target
     * @param isInFirstList whether this entry reads the list for the first time, so that nothing shows a recent start
     */
    void added(TargetRuntime target, boolean isInFirstList) {
        TargetInstance instance = target.instance();
        SpeedReference reference = references.computeIfAbsent(instance.service(), service -> new SpeedReference());
        target.setRecovery(new TargetRecovery(
                instance.slots(),
                target::openWork,
                isModelService.test(instance.service()) ? INITIAL_ENGINE_REQUESTS : INITIAL_PLAIN_REQUESTS,
                reference,
                (cause, requestLimit) -> changed(target, cause, requestLimit)));
        boolean isNew = known.add(new TargetStart(instance.id(), instance.startedMillis()));
        if (!isInFirstList) {
            target.recovery().begin(isNew ? SlowStartCause.STARTED : SlowStartCause.RETURNED, nanoClock.getAsLong());
        }
    }

    private void changed(TargetRuntime target, String cause, double requestLimit) {
        long nowNanos = nanoClock.getAsLong();
        metrics.count("slow_start_changes;cause=" + cause.replace(' ', '_'));
        log.change("target.slow-start")
                .with("target", target.instance().id())
                .with("started", target.instance().startedMillis())
                .with("cause", cause)
                .with("request_limit", requestLimit == 0 ? "none" : requestLimit)
                .with("open", target.openWork(nowNanos).requests())
                .with("speed", target.recovery().speedFactor(nowNanos))
                .write();
    }

    private record TargetStart(InstanceId id, long startedMillis) {}
}
