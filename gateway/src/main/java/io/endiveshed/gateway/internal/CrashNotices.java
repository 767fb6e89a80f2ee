package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.crash.RequestTrait;
import io.endiveshed.coordination.crash.TargetCrash;
import java.util.Set;

/** Sends what this entry finds out about targets that crash to the other entries. */
interface CrashNotices {
    /** Notices that reach nobody. */
    CrashNotices NONE = new CrashNotices() {
        @Override
        public void crashed(TargetCrash crash) {}

        @Override
        public void answered(Set<RequestTrait> traits) {}
    };

    /** Sends notice of a target that has crashed. */
    void crashed(TargetCrash crash);

    /** Sends notice of an answer to a request with traits that were suspected of crashes. */
    void answered(Set<RequestTrait> traits);
}
