package io.endiveshed.coordination.limit;

import io.endiveshed.base.id.InstanceId;

/**
 * What one entry reports to its peers about a cold target.
 *
 * @param target id of the target
 * @param startedMillis Unix time of the target's start in milliseconds, 0 if unknown
 * @param remainingMillis time in milliseconds for which it remains cold, counted from the arrival of the notice
 */
public record ColdNotice(InstanceId target, long startedMillis, long remainingMillis) {}
