package io.endiveshed.bench.policy;

/** Units of virtual time. */
final class Units {
    /** Nanoseconds in a millisecond. */
    static final long MILLI = 1_000_000L;
    /** Nanoseconds in a second. */
    static final long SECOND = 1_000_000_000L;

    private Units() {}
}
