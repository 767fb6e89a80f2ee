package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.limit.LimitNotice;
import io.endiveshed.coordination.limit.LimitShare;
import io.endiveshed.coordination.limit.TargetLimit;
import io.endiveshed.gateway.TargetResponseHead;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Keeps the limits that targets name up to date, from the answers to this entry and from the notices of other entries,
 * and this entry's share of each. Confined to one event loop.
 */
final class RequestLimits implements LimitListener {
    /** Time in milliseconds for which the end of a limit is told to the other entries, about 20 heartbeats. */
    private static final long END_NOTICE_MILLIS = 10_000;

    private final InstanceId self;
    private final Targets targets;
    private final LongSupplier nanoClock;
    private final GatewayMetrics metrics;
    private final EventLog log;
    private Set<InstanceId> entries = Set.of();

    RequestLimits(InstanceId self, Targets targets, LongSupplier nanoClock, GatewayMetrics metrics, EventLog log) {
        this.self = self;
        this.targets = targets;
        this.nanoClock = nanoClock;
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Records what the head of an answer says of a limit of the target that sent it. Only a success shows that there is
     * none any more.
     *
     * @param target target that answered
     * @param requestId id of the request
     * @param head head of the answer
     * @param sentNanos time before the request was written
     */
    void answered(TargetRuntime target, String requestId, TargetResponseHead head, long sentNanos) {
        long nowNanos = nanoClock.getAsLong();
        boolean isChanged = head.requestsPerSecond().isPresent()
                ? target.limit().observeLimit(head.requestsPerSecond().getAsDouble(), nowNanos)
                : head.isSuccess() && target.limit().observeNoLimit(sentNanos);
        if (isChanged) {
            changed(target, "answer to " + requestId);
        }
    }

    @Override
    public void limitObservedElsewhere(InstanceId entry, LimitNotice notice) {
        TargetRuntime target = targets.find(notice.target());
        if (target != null && target.instance().startedMillis() == notice.startedMillis()) {
            long atNanos = nanoClock.getAsLong() - TimeUnit.MILLISECONDS.toNanos(notice.ageMillis());
            if (target.limit().learn(notice.requestsPerSecond(), atNanos)) {
                changed(target, entry.value());
            }
        }
    }

    /** Sets the entries among which limits are divided; see {@code SharingEntries}. */
    void setEntries(Set<InstanceId> sharingEntries) {
        if (entries.equals(sharingEntries)) {
            return;
        }
        entries = Set.copyOf(sharingEntries);
        int limited = 0;
        for (TargetRuntime target : targets.all()) {
            if (target.limit().requestsPerSecond().isPresent()) {
                limited++;
                share(target);
            }
        }
        log.change("limits.shared")
                .with("entries", entries.size())
                .with("targets", limited)
                .write();
    }

    /** Returns what this entry has itself observed of limits, the newest first, to be told to the other entries. */
    List<LimitNotice> notices() {
        long nowNanos = nanoClock.getAsLong();
        List<LimitNotice> notices = new ArrayList<>();
        for (TargetRuntime target : targets.all()) {
            TargetLimit limit = target.limit();
            boolean isNews =
                    limit.requestsPerSecond().isPresent() || limit.unchangedMillis(nowNanos) <= END_NOTICE_MILLIS;
            if (limit.isOwnObservation() && isNews) {
                notices.add(new LimitNotice(
                        target.instance().id(),
                        target.instance().startedMillis(),
                        limit.requestsPerSecond(),
                        limit.ageMillis(nowNanos)));
            }
        }
        notices.sort(Comparator.comparingLong(LimitNotice::ageMillis));
        return notices;
    }

    private void changed(TargetRuntime target, String source) {
        TargetLimit limit = target.limit();
        share(target);
        metrics.count("target_limits_changed");
        log.change("target.limit")
                .with("target", target.instance().id())
                .with(
                        "per_second",
                        limit.requestsPerSecond().isPresent()
                                ? limit.requestsPerSecond().getAsDouble()
                                : "none")
                .with("source", source)
                .with("age_ms", limit.ageMillis(nanoClock.getAsLong()))
                .with("own_share", limit.share().requestsPerSecond())
                .with("entries", entries.size())
                .write();
    }

    private void share(TargetRuntime target) {
        TargetLimit limit = target.limit();
        LimitShare share = limit.requestsPerSecond().isPresent()
                ? LimitShare.of(
                        limit.requestsPerSecond().getAsDouble(),
                        target.instance().id(),
                        self,
                        entries)
                : LimitShare.NONE;
        limit.setShare(share, nanoClock.getAsLong());
    }
}
