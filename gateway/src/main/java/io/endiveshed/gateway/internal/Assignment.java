package io.endiveshed.gateway.internal;

import io.endiveshed.gateway.ForwardingOptions;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

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

    /**
     * Returns whether the target, or an engine that helps it, gets no new work until further notice. Work that has been
     * sent goes on.
     */
    default boolean isWithdrawn(long nowNanos) {
        return target().status(nowNanos).isWithdrawn();
    }

    /**
     * Returns whether the request may be written now.
     *
     * @param acquire counts the request against the restrictions of the target; returns whether they allow it
     */
    default boolean tryAcquire(long nowNanos, Predicate<TargetRuntime> acquire) {
        return !isWithdrawn(nowNanos) && acquire.test(target());
    }

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
