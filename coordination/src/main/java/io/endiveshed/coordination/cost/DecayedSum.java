package io.endiveshed.coordination.cost;

import java.util.function.LongSupplier;

/** Sum of amounts that decay exponentially with time, so that it describes the recent past. Thread-safe. */
public final class DecayedSum {
    private final LongSupplier nanoClock;
    private final double timeConstantNanos;
    private double value;
    private long updatedNanos;

    /**
     * Creates an empty sum.
     *
     * @param nanoClock monotonic clock in nanoseconds
     * @param timeConstantNanos time after which an amount has decayed to 1/e, in nanoseconds
     */
    public DecayedSum(LongSupplier nanoClock, long timeConstantNanos) {
        this.nanoClock = nanoClock;
        this.timeConstantNanos = timeConstantNanos;
        this.updatedNanos = nanoClock.getAsLong();
    }

    /** Adds an amount at the current time. */
    public synchronized void add(double amount) {
        decay();
        value += amount;
    }

    /** Returns the decayed sum; divided by the time constant, it estimates the rate of the amounts. */
    public synchronized double value() {
        decay();
        return value;
    }

    private void decay() {
        long now = nanoClock.getAsLong();
        if (now > updatedNanos) {
            value *= Math.exp(-(now - updatedNanos) / timeConstantNanos);
            updatedNanos = now;
        }
    }
}
