package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.crash.AnsweredTrait;
import io.endiveshed.coordination.crash.BlockedTrait;
import io.endiveshed.coordination.crash.TargetCrash;
import java.util.List;

/** Receives what other entries find out about targets that crash and the requests under which they do. */
interface CrashListener {
    /** Called when another entry has seen a target crash. */
    void crashedElsewhere(InstanceId entry, TargetCrash crash);

    /** Called with answers to requests with traits that are suspected of crashes. */
    void answeredElsewhere(List<AnsweredTrait> answers);

    /** Called with each trait that another entry blocks; repeated while it does. */
    void blockedElsewhere(BlockedTrait blocked);
}
