package io.endiveshed.coordination.limit;

import io.endiveshed.base.id.InstanceId;
import java.util.OptionalDouble;

/**
 * What one entry tells the others of the limit of a target.
 *
 * @param target id of the target
 * @param startedMillis Unix time of the target's start in milliseconds, 0 if unknown; another start knows no limit
 * @param requestsPerSecond requests a second that it takes from all entries together; empty if it no longer names a
 *     limit
 * @param ageMillis time in milliseconds since that was observed
 */
public record LimitNotice(InstanceId target, long startedMillis, OptionalDouble requestsPerSecond, long ageMillis) {}
