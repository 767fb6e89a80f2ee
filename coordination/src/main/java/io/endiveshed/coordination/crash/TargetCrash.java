package io.endiveshed.coordination.crash;

import io.endiveshed.base.id.InstanceId;
import java.util.Set;

/**
 * Crash of a target, as one entry has seen it.
 *
 * @param target id of the target
 * @param startedMillis Unix time in milliseconds at which the crashed process of the target was started
 * @param traits traits of the requests of this entry that ran on the target
 */
public record TargetCrash(InstanceId target, long startedMillis, Set<RequestTrait> traits) {
    public TargetCrash {
        traits = Set.copyOf(traits);
    }
}
