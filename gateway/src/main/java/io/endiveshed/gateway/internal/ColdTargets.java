package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.ServiceName;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.availability.TargetStatus;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.crash.TargetCrash;
import io.endiveshed.coordination.limit.ColdBounds;
import io.endiveshed.coordination.limit.ColdNotice;
import io.endiveshed.coordination.limit.ColdSharing;
import io.endiveshed.coordination.limit.ColdStartGate;
import io.endiveshed.coordination.limit.SharingEntries;
import io.endiveshed.coordination.service.ColdStart;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.coordination.service.ServiceRule;
import io.endiveshed.gateway.TargetResponseHead;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Keeps the gates of cold targets up to date: what the entry reads and its peers report, and its share of their rates.
 * Confined to one event loop.
 */
final class ColdTargets implements ColdNotices {
    private final Targets targets;
    private final AtomicValue<ServiceCatalog> catalog;
    private final LongSupplier nanoClock;
    private final GatewayMetrics metrics;
    private final EventLog log;
    private final ColdSharing sharing;

    ColdTargets(
            InstanceId self,
            Targets targets,
            AtomicValue<ServiceCatalog> catalog,
            ColdBounds bounds,
            LongSupplier nanoClock,
            GatewayMetrics metrics,
            EventLog log) {
        this.targets = targets;
        this.catalog = catalog;
        this.nanoClock = nanoClock;
        this.metrics = metrics;
        this.log = log;
        this.sharing = new ColdSharing(self, bounds, nanoClock.getAsLong());
        targets.limitCold(this::coldStart, added -> added.cold().renewShare(sharing, nanoClock.getAsLong()));
    }

    private ColdStart coldStart(ServiceName service) {
        return catalog.read().service(service).map(ServiceRule::coldStart).orElse(ColdStart.NONE);
    }

    /** Sets the entries among which rates are divided; called at each heartbeat, as shares end without that. */
    void setEntries(SharingEntries entries) {
        long nowNanos = nanoClock.getAsLong();
        sharing.setEntries(entries, nowNanos);
        for (TargetRuntime target : targets.all()) {
            target.cold().renewShare(sharing, nowNanos);
            if (target.cold().hasChanged(nowNanos)) {
                logChange(target, nowNanos);
            }
        }
    }

    private void logChange(TargetRuntime target, long nowNanos) {
        ColdStartGate gate = target.cold();
        boolean isCold = gate.isCold(nowNanos);
        if (isCold) {
            metrics.count("cold_targets");
        }
        log.change(isCold ? "target.cold" : "target.warm")
                .with("target", target.instance().id())
                .with("service", target.instance().service())
                .with("source", gate.source(nowNanos).name().toLowerCase(Locale.ROOT))
                .with("remaining_ms", gate.remainingMillis(nowNanos))
                .with("interval_ms", TimeUnit.NANOSECONDS.toMillis(gate.share().intervalNanos()))
                .with("entries", sharing.entries().entries().size())
                .write();
    }

    /** Returns whether a request may be written to a target now; if so, it counts against its restrictions. */
    boolean tryAcquireRequest(TargetRuntime target) {
        long nowNanos = nanoClock.getAsLong();
        TargetStatus status = target.status(nowNanos);
        if (status.reason() == TargetStatus.Reason.COLD) {
            metrics.count("cold_unsent");
        }
        boolean isAcquired = target.tryAcquireRequest(nowNanos);
        if (isAcquired && target.cold().isCold(nowNanos)) {
            metrics.count("cold_requests");
        }
        return isAcquired;
    }

    /** Records what the head of an answer says of the cold time of the target that sent it. */
    void answered(TargetRuntime target, TargetResponseHead head) {
        long nowNanos = nanoClock.getAsLong();
        target.cold().observeAnswer(nowNanos);
        head.coldRemainingMillis().ifPresent(millis -> target.cold().observeResponse(millis, nowNanos));
    }

    /** Records that a target could not be reached, or did not complete an answer. */
    void unreachable(TargetRuntime target) {
        target.cold().observeUnreachable(nanoClock.getAsLong());
    }

    /** Records that this entry or another has seen a target crash. */
    void crashed(TargetCrash crash) {
        TargetRuntime target = targets.find(crash.target());
        if (target != null && target.instance().startedMillis() == crash.startedMillis()) {
            unreachable(target);
        }
    }

    /** A target of a later start than the one known here is cold too, although this entry has not read of it yet. */
    @Override
    public void coldElsewhere(InstanceId entry, ColdNotice notice) {
        TargetRuntime target = targets.find(notice.target());
        if (target != null && target.instance().startedMillis() <= notice.startedMillis()) {
            target.cold().learn(notice.remainingMillis(), nanoClock.getAsLong());
        }
    }

    /** Returns the targets that remain cold for the longest time first, as others may not know of these yet. */
    @Override
    public List<ColdNotice> toTell() {
        long nowNanos = nanoClock.getAsLong();
        List<ColdNotice> notices = new ArrayList<>();
        for (TargetRuntime target : targets.all()) {
            long remaining = target.cold().isLimited() ? target.cold().ownRemainingMillis(nowNanos) : 0;
            if (remaining > 0) {
                notices.add(
                        new ColdNotice(target.instance().id(), target.instance().startedMillis(), remaining));
            }
        }
        notices.sort(Comparator.comparingLong(ColdNotice::remainingMillis).reversed());
        return notices;
    }
}
