package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.PromptPartId;
import io.endiveshed.coordination.crash.EngineCrash;
import java.util.Set;

/** Sends what this entry finds out about engines that crash to the other entries. */
interface CrashNotices {
    /** Notices that reach nobody. */
    CrashNotices NONE = new CrashNotices() {
        @Override
        public void crashed(EngineCrash crash) {}

        @Override
        public void answered(Set<PromptPartId> parts) {}
    };

    /** Sends notice of an engine that has crashed. */
    void crashed(EngineCrash crash);

    /** Sends notice of an answer to a prompt with parts that crashes had accused. */
    void answered(Set<PromptPartId> parts);
}
