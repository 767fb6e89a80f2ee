package io.endiveshed.entry.internal;

import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.TargetId;

/** What a call tells the dispatcher; called with the call's lock held. */
interface AttemptEvents {
    /** An attempt on the target was started. */
    void began(TargetId target);

    /** The current attempt on the target has ended for this entry. */
    void left(TargetId target);

    /** The attempt may be replaced by one on another target; the failure is the answer if there is none. */
    void retry(Call call, Failure failure);

    /** The attempt has lost its link; the longer wait is for attempts that cannot be replaced. */
    void detached(Call call, AttemptId attempt, int detachment, boolean longWait);

    /** An attempt continues on a new link. */
    void resumed();

    /** The target must stop the attempt. */
    void cancel(AttemptId attempt, TargetId target, long bodyBytes);

    /** The call ends with a failure. */
    void failed(Failure failure);

    /** The call has ended. */
    void finished(Call call);
}
