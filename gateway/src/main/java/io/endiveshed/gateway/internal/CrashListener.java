package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.base.id.PromptPartId;
import io.endiveshed.coordination.crash.BlockedPart;
import io.endiveshed.coordination.crash.EngineCrash;
import java.util.Set;

/** Receives what other entries find out about engines that crash and the prompts at fault. */
interface CrashListener {
    /** Called when another entry has seen an engine crash. */
    void crashedElsewhere(InstanceId entry, EngineCrash crash);

    /** Called when a prompt with these parts was answered. */
    void answeredElsewhere(Set<PromptPartId> parts);

    /** Called with each part that another entry blocks; repeated while it does. */
    void blockedElsewhere(BlockedPart blocked);
}
