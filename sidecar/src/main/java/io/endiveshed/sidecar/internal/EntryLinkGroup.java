package io.endiveshed.sidecar.internal;

import io.endiveshed.net.link.Link;
import io.endiveshed.ports.platform.ListedInstance;
import io.endiveshed.protocol.Lane;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/** Links to one entry, one for each lane. */
final class EntryLinkGroup {
    private final List<EntryLink> links;
    private final LinkContext context;
    private long lastUpNanos;
    private long lastBusyNanos;

    EntryLinkGroup(LinkContext context, ListedInstance entry, Runnable whenLeaving) {
        this.context = context;
        this.lastUpNanos = context.clock().nanoTime();
        this.lastBusyNanos = lastUpNanos;
        this.links = Arrays.stream(Lane.values())
                .map(lane -> new EntryLink(context, entry, lane, this::containsLink, whenLeaving))
                .toList();
    }

    void start() {
        links.forEach(EntryLink::start);
    }

    void announceLeaving(long graceMillis) {
        links.forEach(link -> link.announceLeaving(graceMillis));
    }

    /** Returns whether the entry has acknowledged on every established link that the target leaves. */
    boolean isLeavingAcknowledged() {
        return links.stream().allMatch(EntryLink::isLeavingAcknowledged);
    }

    void stop() {
        links.forEach(EntryLink::stop);
    }

    boolean isClosed() {
        return links.stream().allMatch(EntryLink::isClosed);
    }

    /** Returns whether all links are established. */
    boolean isUp() {
        return links.stream().allMatch(EntryLink::isWelcomed);
    }

    /** Records the current state, on which {@link #isDownFor} and {@link #isIdleFor} depend. */
    void updateTimes(long nowNanos) {
        if (isUp()) {
            lastUpNanos = nowNanos;
        }
        if (context.calls().hasCalls(this::containsLink)) {
            lastBusyNanos = nowNanos;
        }
    }

    /** Returns whether at least one link has been down for the given time, as far as the recorded states show. */
    boolean isDownFor(Duration time, long nowNanos) {
        return nowNanos - lastUpNanos >= time.toNanos();
    }

    /** Returns whether the links have had no call for the given time, as far as the recorded states show. */
    boolean isIdleFor(Duration time, long nowNanos) {
        return nowNanos - lastBusyNanos >= time.toNanos();
    }

    private boolean containsLink(Link other) {
        return links.stream().anyMatch(link -> link.uses(other));
    }
}
