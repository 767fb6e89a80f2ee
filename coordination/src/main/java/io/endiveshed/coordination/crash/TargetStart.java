package io.endiveshed.coordination.crash;

import io.endiveshed.base.id.InstanceId;

/**
 * One process lifetime of a target.
 *
 * @param target id of the target
 * @param startedMillis Unix time of its start in milliseconds
 */
record TargetStart(InstanceId target, long startedMillis) {
    static TargetStart of(TargetCrash crash) {
        return new TargetStart(crash.target(), crash.startedMillis());
    }
}
