package io.endiveshed.coordination.engine;

import io.endiveshed.coordination.cost.DecayedSum;
import java.util.function.LongSupplier;

/**
 * How much of the engines' time the reading of long prompts takes at present.
 *
 * <p>The mix of prompts changes within seconds, so only the last few seconds count. Where long prompts need many engines,
 * short ones are kept on few; where they are rare, short ones use all.
 */
public final class LongPrefillDemand {
    /** Time over which demand counts as present, in nanoseconds: some of the longest reads, and less than a burst. */
    private static final long TIME_CONSTANT_NANOS = 3_000_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private final DecayedSum prefillMillis;

    /** Makes a demand of zero. */
    public LongPrefillDemand(LongSupplier nanoClock) {
        this.prefillMillis = new DecayedSum(nanoClock, TIME_CONSTANT_NANOS);
    }

    /** Adds the time in milliseconds for which engines together read a long prompt. */
    public void add(double millis) {
        prefillMillis.add(millis);
    }

    /** Returns the share of the time of the given number of engines, at least 0; above 1 there is a backlog. */
    public double share(int engines) {
        return prefillMillis.value() / (TIME_CONSTANT_NANOS / NANOS_PER_MILLI * Math.max(1, engines));
    }
}
