package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import java.util.List;

/**
 * Notice to the other entries of a prompt that this entry has placed. Times are relative to the sending of the notice,
 * as entries have no common clock.
 *
 * @param number number of the prompt, unique within the sender
 * @param engineIds engines of the prompt; the first writes the response, the others help with the prefill
 * @param prefillMillis prefill time of each engine, in milliseconds
 * @param firstEventMillis predicted time until the first event, in milliseconds
 * @param endMillis predicted time until the last event, in milliseconds
 * @param firstEventBudgetMillis time after which the first event is late, in milliseconds
 * @param callerTimeoutMillis time after which the caller gives up if there is no first event, in milliseconds
 * @param maxPauseMillis longest pause between events that is on time, in milliseconds
 * @param weight importance of the request
 * @param kvTokens KV cache in tokens that the request takes on the first engine
 * @param holderCount number of helpers, from the first one, that also hold a part of the prompt in memory
 * @param holderKvTokens KV cache in tokens that the prompt takes on each of those helpers
 */
record PlacementNotice(
        long number,
        List<InstanceId> engineIds,
        double prefillMillis,
        double firstEventMillis,
        double endMillis,
        double firstEventBudgetMillis,
        double callerTimeoutMillis,
        double maxPauseMillis,
        double weight,
        long kvTokens,
        int holderCount,
        long holderKvTokens) {
    PlacementNotice {
        engineIds = List.copyOf(engineIds);
    }

    /**
     * Returns this notice with its times counted from the given number of milliseconds later; moments that have passed
     * are negative, and the prefill time is 0 once the first event is due.
     */
    PlacementNotice after(double elapsedMillis) {
        double remainingFirstEventMillis = firstEventMillis - elapsedMillis;
        return new PlacementNotice(
                number,
                engineIds,
                Math.max(0, Math.min(prefillMillis, remainingFirstEventMillis)),
                remainingFirstEventMillis,
                endMillis - elapsedMillis,
                firstEventBudgetMillis - elapsedMillis,
                callerTimeoutMillis - elapsedMillis,
                maxPauseMillis,
                weight,
                kvTokens,
                holderCount,
                holderKvTokens);
    }
}
