package io.endiveshed.gateway.internal;

import io.endiveshed.base.log.EventLog;
import io.endiveshed.coordination.cell.AtomicValue;
import io.endiveshed.coordination.freshness.ClockReading;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.ports.platform.FeedBatch;
import io.endiveshed.ports.platform.FeedEvent;

/** Puts the newest desired state in force. An object that is older or cannot be read is ignored. */
final class CatalogUpdater implements FeedFollower.Listener<ServiceCatalog> {
    private final AtomicValue<ServiceCatalog> catalog;
    private final EventLog log;

    CatalogUpdater(AtomicValue<ServiceCatalog> catalog, EventLog log) {
        this.catalog = catalog;
        this.log = log;
    }

    @Override
    public void listed(FeedBatch<ServiceCatalog> batch) {
        changed(batch);
    }

    @Override
    public void changed(FeedBatch<ServiceCatalog> batch) {
        for (FeedEvent<ServiceCatalog> event : batch.events()) {
            event.value().ifPresent(candidate -> activateIfNewer(candidate, event.version()));
        }
    }

    @Override
    public void storeRegained(ClockReading lastFailureStart) {}

    private void activateIfNewer(ServiceCatalog candidate, long storeVersion) {
        ServiceCatalog previous = catalog.read();
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
