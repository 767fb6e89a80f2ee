package io.endiveshed.sidecar.internal;

import io.endiveshed.net.link.Link;
import io.endiveshed.ports.platform.ListedInstance;
import io.endiveshed.protocol.Lane;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/** The links of one entry, one for each lane. */
final class EntryPair {
    private final List<EntryLink> lanes;
    private final LinkContext context;
    private long downSinceNanos;
    private long busyNanos;

    EntryPair(LinkContext context, ListedInstance entry, Runnable whenLeaving) {
        this.context = context;
        this.downSinceNanos = context.clock().nanoTime();
        this.busyNanos = downSinceNanos;
        this.lanes = Arrays.stream(Lane.values())
                .map(lane -> new EntryLink(context, entry, lane, this::owns, whenLeaving))
                .toList();
    }

    void start() {
        lanes.forEach(EntryLink::start);
    }

    void announceLeaving(long graceMillis) {
        lanes.forEach(lane -> lane.announceLeaving(graceMillis));
    }

    /** Tells whether every open link has acknowledged that the sidecar leaves. */
    boolean isLeavingKnown() {
        return lanes.stream().allMatch(EntryLink::isLeavingKnown);
    }

    void stop() {
        lanes.forEach(EntryLink::stop);
    }

    boolean isClosed() {
        return lanes.stream().allMatch(EntryLink::isClosed);
    }

    boolean isUp() {
        return lanes.stream().allMatch(EntryLink::isWelcomed);
    }

    /** Notes the present state, so that the times below are known. */
    void observe(long nowNanos) {
        if (isUp()) {
            downSinceNanos = nowNanos;
        }
        if (context.calls().hasCalls(this::owns)) {
            busyNanos = nowNanos;
        }
    }

    boolean isDownFor(Duration time, long nowNanos) {
        return nowNanos - downSinceNanos >= time.toNanos();
    }

    boolean isIdleFor(Duration time, long nowNanos) {
        return nowNanos - busyNanos >= time.toNanos();
    }

    private boolean owns(Link link) {
        return lanes.stream().anyMatch(lane -> lane.isOver(link));
    }
}
