package io.endiveshed.gateway;

import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.ports.platform.ObjectFeed;

/**
 * What an entry reads from the platform's store.
 *
 * @param catalog desired state; the newest object holds it whole
 * @param targets list of targets
 * @param entries list of entries
 */
public record PlatformFeeds(
        ObjectFeed<ServiceCatalog> catalog, ObjectFeed<TargetInstance> targets, EntryRegistry entries) {}
