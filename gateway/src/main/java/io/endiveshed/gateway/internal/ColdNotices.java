package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.limit.ColdNotice;
import java.util.List;

/** What entries report to each other about cold targets. */
interface ColdNotices {
    /** Reports nothing and ignores what it receives. */
    ColdNotices NONE = new ColdNotices() {
        @Override
        public List<ColdNotice> toTell() {
            return List.of();
        }

        @Override
        public void coldElsewhere(InstanceId entry, ColdNotice notice) {}
    };

    /** Returns the cold targets that this entry has read of, the most important first. */
    List<ColdNotice> toTell();

    /** Called when a peer reports that a target is cold; it repeats what it knows. */
    void coldElsewhere(InstanceId entry, ColdNotice notice);
}
