package io.endiveshed.coordination.lease;

import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.id.InstanceId;

/**
 * Identity of a process that holds leases.
 *
 * @param instance instance on which the process runs
 * @param incarnation random number of the process, which makes a restarted process a different holder
 */
public record LeaseHolder(InstanceId instance, Incarnation incarnation) {}
