package io.endiveshed.coordination;

import java.util.function.LongSupplier;

/** Clock that stands still until it is moved. */
public final class ManualClock implements LongSupplier {
    /** Nanoseconds in a second. */
    public static final long SECOND = 1_000_000_000L;

    private long nanos;

    /** Moves the clock. */
    public void advance(long by) {
        nanos += by;
    }

    @Override
    public long getAsLong() {
        return nanos;
    }
}
