package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import java.util.List;

/**
 * What an entry tells the others of a prompt that it has placed. Times are relative to the sending, as entries have no
 * common clock.
 *
 * @param number number that the sender gave
 * @param targets engines; the first writes the answer, the others help to read
 * @param readMillis time in milliseconds for which each of them reads
 * @param firstEventMillis predicted time until the first event, in milliseconds
 * @param endMillis predicted time until the last event, in milliseconds
 * @param firstEventLimitMillis time until the first event is late, in milliseconds
 * @param abandonMillis time until the caller leaves if there is no first event, in milliseconds
 * @param maxPauseMillis longest pause between events that is on time, in milliseconds
 * @param weight importance of the request
 * @param memoryTokens tokens that the first engine holds in memory
 * @param holders number of helpers, from the first one, that hold a part of the prompt too
 * @param holderTokens tokens that each of them holds
 */
record WorkNotice(
        long number,
        List<InstanceId> targets,
        double readMillis,
        double firstEventMillis,
        double endMillis,
        double firstEventLimitMillis,
        double abandonMillis,
        double maxPauseMillis,
        double weight,
        long memoryTokens,
        int holders,
        long holderTokens) {
    WorkNotice {
        targets = List.copyOf(targets);
    }

    /** Returns what is left of the work after the given time in milliseconds; times that have passed are below 0. */
    WorkNotice after(double elapsedMillis) {
        double firstEvent = firstEventMillis - elapsedMillis;
        return new WorkNotice(
                number,
                targets,
                Math.max(0, Math.min(readMillis, firstEvent)),
                firstEvent,
                endMillis - elapsedMillis,
                firstEventLimitMillis - elapsedMillis,
                abandonMillis - elapsedMillis,
                maxPauseMillis,
                weight,
                memoryTokens,
                holders,
                holderTokens);
    }
}
