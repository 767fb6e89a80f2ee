package io.endiveshed.gateway;

import io.endiveshed.base.id.FailureDomain;
import io.endiveshed.coordination.service.ServiceCatalog;
import io.endiveshed.coordination.service.TargetInstance;
import io.endiveshed.ports.platform.ObjectFeed;

/**
 * Interfaces of the platform that an entry uses.
 *
 * @param catalog desired state; the newest object contains all of it
 * @param targets list of targets
 * @param entries list of entries
 * @param crashes crashes of targets that entries have stored
 * @param evacuations evacuated failure domains; the name of the object is that of the domain
 * @param engineMemory memory reservations on engines
 */
public record PlatformPorts(
        ObjectFeed<ServiceCatalog> catalog,
        ObjectFeed<TargetInstance> targets,
        EntryRegistry entries,
        CrashRegistry crashes,
        ObjectFeed<FailureDomain> evacuations,
        EngineMemory engineMemory) {}
