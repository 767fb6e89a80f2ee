package io.endiveshed.base.id;

/**
 * Number that grows with every change of a lease's holder; an order with a lower token than one seen is stale.
 *
 * @param value 0 for "never held"
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    /** The token before the first holder. */
    public static final FencingToken NONE = new FencingToken(0);

    /** Returns the token of the next holder. */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }
}
