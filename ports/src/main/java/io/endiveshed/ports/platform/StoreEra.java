package io.endiveshed.ports.platform;

/**
 * Time between two restores of the store from an older copy. Versions of the store can be compared only within one era,
 * since they go back with a restore and are given out again.
 *
 * @param number number of the era, which grows with each restore; not negative
 */
public record StoreEra(long number) {
    /** Era of a store that names none. */
    public static final StoreEra FIRST = new StoreEra(0);

    /** Throws {@link IllegalArgumentException} if the number is negative. */
    public StoreEra {
        if (number < 0) {
            throw new IllegalArgumentException("the number of an era must not be negative, but was " + number);
        }
    }

    /** Returns whether this era began after another one. */
    public boolean isAfter(StoreEra other) {
        return number > other.number;
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
