package io.endiveshed.gateway.internal;

import io.endiveshed.net.http.Reachability;
import java.util.concurrent.CompletionStage;

/** Finds out whether the process of a target is running. */
@FunctionalInterface
interface TargetProbe {
    /** Returns whether a process listens on the address of a target; the stage completes normally. */
    CompletionStage<Reachability> probe(TargetRuntime target);
}
