package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.evacuation.EvacuatedDomains;
import io.endiveshed.coordination.evacuation.EvacuationGate;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Keeps the evacuated failure domains in step with the store, and logs and counts their changes. Confined to one event
 * loop.
 */
final class EvacuationMonitor implements FeedFollower.Listener<FailureDomain> {
    private final EvacuatedDomains domains;
    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private final GatewayMetrics metrics;
    private final EventLog log;
    private final Set<FailureDomain> seenDomains = new HashSet<>();
    private final Set<FailureDomain> loggedUnknown = new HashSet<>();
    private Set<FailureDomain> inForce = Set.of();

    EvacuationMonitor(
            EvacuatedDomains domains, EventLoop loop, LongSupplier nanoClock, GatewayMetrics metrics, EventLog log) {
        this.domains = domains;
        this.loop = loop;
        this.nanoClock = nanoClock;
        this.metrics = metrics;
        this.log = log;
    }

    /** Returns whether the evacuations were read at least once. */
    boolean isRead() {
        return domains.isRead();
    }

    /** Returns the restriction of a target. */
    EvacuationGate gate(TargetRuntime target) {
        return new EvacuationGate(domains, () -> target.instance().domain());
    }

    /**
     * Logs each evacuation of a domain in which no target has been seen so far. The targets of an evacuated domain may be
     * switched off, so those seen before count.
     *
     * @param withTargets domains of the targets that are listed now
     */
    void logUnknown(Set<FailureDomain> withTargets) {
        seenDomains.addAll(withTargets);
        loggedUnknown.retainAll(inForce);
        if (seenDomains.isEmpty()) {
            return;
        }
        for (FailureDomain domain : inForce) {
            if (!seenDomains.contains(domain) && loggedUnknown.add(domain)) {
                metrics.count("evacuations_of_unknown_domains");
                log.change("evacuation.unknown-domain").with("domain", domain).write();
            }
        }
    }

    @Override
    public void listed(FeedBatch<FailureDomain> batch) {
        Set<FailureDomain> listed = new HashSet<>();
        batch.events().forEach(event -> domain(event).ifPresent(listed::add));
        domains.replaceAll(listed, nanoClock.getAsLong());
        update("list", batch.upTo());
    }

    @Override
    public void changed(FeedBatch<FailureDomain> batch) {
        for (FeedEvent<FailureDomain> event : batch.events()) {
            boolean isDeleted = event.value().isEmpty() && !event.isUnreadable();
            domain(event).ifPresent(domain -> {
                if (isDeleted) {
                    domains.remove(domain, nanoClock.getAsLong());
                } else {
                    domains.put(domain);
                }
            });
        }
        update("watch", batch.upTo());
    }

    @Override
    public void storeRegained(ClockReading lastFailureStart) {}

    @Override
    public void storeRestored() {
        domains.storeRestored();
    }

    /**
     * Returns the domain that an object evacuates. Its name says all, so one whose specification cannot be decoded counts
     * as well; one whose name is no name of a domain is ignored.
     */
    private Optional<FailureDomain> domain(FeedEvent<FailureDomain> event) {
        if (event.isUnreadable()) {
            log.change("evacuation.unreadable")
                    .with("object", event.name())
                    .with("store_version", event.version())
                    .write();
        }
        try {
            return Optional.of(new FailureDomain(event.name()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private void expire() {
        domains.expire(nanoClock.getAsLong());
        update("expiry", -1);
    }

    /** Logs and counts what has begun and ended, with its cause and the version of the store. */
    private void update(String cause, long version) {
        Set<FailureDomain> now = domains.evacuated();
        now.stream()
                .filter(domain -> !inForce.contains(domain))
                .forEach(domain -> report("began", domain, cause, version));
        inForce.stream()
                .filter(domain -> !now.contains(domain))
                .forEach(domain -> report("ended", domain, cause, version));
        inForce = now;
        domains.nextExpiryNanos()
                .ifPresent(expiry -> loop.schedule(this::expire, expiry - nanoClock.getAsLong(), TimeUnit.NANOSECONDS));
    }

    private void report(String change, FailureDomain domain, String cause, long version) {
        metrics.count("evacuations;change=" + change);
        log.change("evacuation." + change)
                .with("domain", domain)
                .with("cause", cause)
                .with("version", version)
                .write();
    }
}
