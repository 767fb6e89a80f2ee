package io.endiveshed.coordination.crash;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.PromptPartId;
import java.util.Set;

/**
 * Crash of an engine, as one entry has seen it.
 *
 * @param engine id of the engine
 * @param startedMillis Unix time in milliseconds at which the crashed process of the engine was started
 * @param parts parts of the prompts of this entry that ran on the engine
 */
public record EngineCrash(InstanceId engine, long startedMillis, Set<PromptPartId> parts) {
    public EngineCrash {
        parts = Set.copyOf(parts);
    }
}
