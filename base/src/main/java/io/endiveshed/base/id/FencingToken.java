package io.endiveshed.base.id;

/**
 * Fencing token of a lease: a number that increases with each change of the holder. A receiver rejects an order as
 * stale if it has seen a higher token.
 *
 * @param value the number; 0 if the lease has never been held
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    /** Token of a lease that has never been held. */
    public static final FencingToken NONE = new FencingToken(0);

    /** Returns the token for the next holder of the lease. */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }
}
