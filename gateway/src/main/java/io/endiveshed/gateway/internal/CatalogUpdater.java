package io.endiveshed.gateway.internal;

import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;
import java.util.HashSet;
import java.util.Set;

/**
 * Puts the newest desired state in force. One that is older is ignored. One that cannot be read leaves the former in
 * force without a confirmation, so that the keys that it may have withdrawn end with the age limit.
 */
final class CatalogUpdater implements FeedFollower.Listener<ServiceCatalog> {
    private final AtomicValue<ServiceCatalog> catalog;
    private final EventLog log;
    private final Set<String> unreadable = new HashSet<>();
    private long storeVersionInForce = -1;

    CatalogUpdater(AtomicValue<ServiceCatalog> catalog, EventLog log) {
        this.catalog = catalog;
        this.log = log;
    }

    @Override
    public void listed(FeedBatch<ServiceCatalog> batch) {
        unreadable.clear();
        changed(batch);
    }

    @Override
    public void changed(FeedBatch<ServiceCatalog> batch) {
        for (FeedEvent<ServiceCatalog> event : batch.events()) {
            if (event.isUnreadable()) {
                unreadable.add(event.name());
                logUnreadable(event);
            } else {
                unreadable.remove(event.name());
                event.value().ifPresent(candidate -> activateIfNewer(candidate, event.version()));
            }
        }
    }

    @Override
    public boolean hasAppliedAll() {
        return unreadable.isEmpty();
    }

    @Override
    public void storeRegained(ClockReading lastFailureStart) {}

    /**
     * Returns whether the operator has written a desired state that is not older than the one in force. It writes its
     * newest one, so what the copy has lost is in it. In a list, only the one in force under another version of the
     * store is known not to be from the copy.
     */
    @Override
    public boolean showsNewWrite(FeedBatch<ServiceCatalog> batch, boolean isList) {
        long inForce = catalog.read().version();
        return batch.events().stream()
                .filter(event -> event.value().isPresent())
                .anyMatch(event -> isList
                        ? event.value().get().version() == inForce && event.version() != storeVersionInForce
                        : event.value().get().version() >= inForce);
    }

    private void logUnreadable(FeedEvent<ServiceCatalog> event) {
        log.change("state.unreadable")
                .with("object", event.name())
                .with("store_version", event.version())
                .with("in_force", catalog.read().version())
                .write();
    }

    private void activateIfNewer(ServiceCatalog candidate, long storeVersion) {
        ServiceCatalog previous = catalog.read();
        if (candidate.version() >= previous.version()) {
            storeVersionInForce = storeVersion;
        }
        if (candidate.version() <= previous.version()) {
            if (candidate.version() < previous.version()) {
                log.change("state.ignored")
                        .with("version", candidate.version())
                        .with("newer", previous.version())
                        .with("store_version", storeVersion)
                        .write();
            }
            return;
        }
        catalog.update(current -> candidate);
        log.change("state.adopted")
                .with("version", candidate.version())
                .with("before", previous.version())
                .with("store_version", storeVersion)
                .with("content", candidate.summary())
                .write();
    }
}
