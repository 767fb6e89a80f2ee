package io.endiveshed.gateway;

import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.ports.platform.ObjectFeed;

/**
 * What an entry uses of the platform.
 *
 * @param catalog desired state; the newest object holds it whole
 * @param targets list of targets
 * @param entries list of entries
 * @param engineMemory reservations of engines' memory
 */
public record PlatformPorts(
        ObjectFeed<ServiceCatalog> catalog,
        ObjectFeed<TargetInstance> targets,
        EntryRegistry entries,
        EngineMemory engineMemory) {}
