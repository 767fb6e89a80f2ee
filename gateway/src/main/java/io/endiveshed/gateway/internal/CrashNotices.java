package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.crash.AnsweredTrait;
import io.endiveshed.coordination.crash.TargetCrash;
import java.util.List;

/** Sends what this entry finds out about targets that crash to the other entries. */
interface CrashNotices {
    /** Notices that reach nobody. */
    CrashNotices NONE = new CrashNotices() {
        @Override
        public void crashed(TargetCrash crash) {}

        @Override
        public void answered(List<AnsweredTrait> answers) {}
    };

    /** Sends notice of a target that has crashed. */
    void crashed(TargetCrash crash);

    /** Sends notice of answers to requests with traits that are suspected of crashes, before them or since. */
    void answered(List<AnsweredTrait> answers);
}
