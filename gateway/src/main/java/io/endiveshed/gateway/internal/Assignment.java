package io.endiveshed.gateway.internal;

import io.endiveshed.gateway.ForwardingOptions;
import java.util.List;
import java.util.function.Consumer;

/**
 * Target picked for one attempt, with the resources that the attempt holds until it ends. Confined to one event loop.
 */
interface Assignment {
    /**
     * Acquires the resources that the attempt needs in addition to its target, such as memory on helpers.
     *
     * @param whenDone called with whether all resources were granted
     * @param whenUnresponsive run if the target is later found not to respond
     */
    void prepare(Consumer<Boolean> whenDone, Runnable whenUnresponsive);

    /** Returns the target. */
    TargetRuntime target();

    /** Returns the engines that help the target to read the prompt. */
    List<ForwardingOptions.Helper> helpers();

    /** Returns the predicted time in milliseconds until the response begins. */
    double predictedMillis();

    /** Returns the speed factor of the target that the prediction uses. */
    default double assumedSpeed() {
        return 1;
    }

    /** Records that the response, or the first event of a stream, has arrived. */
    void responseStarted();

    /** Releases the resources of the attempt; further calls do nothing. */
    void release();
}
