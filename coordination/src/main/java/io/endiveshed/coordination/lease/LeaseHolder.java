package io.endiveshed.coordination.lease;

import io.endiveshed.base.id.Incarnation;
import io.endiveshed.base.id.InstanceId;

/**
 * A process that holds leases.
 *
 * @param instance instance on which it runs
 * @param incarnation random number of the process, so that a restarted process is another holder
 */
public record LeaseHolder(InstanceId instance, Incarnation incarnation) {}
