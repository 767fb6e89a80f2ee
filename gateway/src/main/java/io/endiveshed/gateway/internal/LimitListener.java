package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.limit.LimitNotice;

/** Receives what other entries know of the limits of targets. */
interface LimitListener {
    /** Called when another entry tells that a target names a limit, or no longer does; it repeats what it knows. */
    void limitObservedElsewhere(InstanceId entry, LimitNotice notice);
}
