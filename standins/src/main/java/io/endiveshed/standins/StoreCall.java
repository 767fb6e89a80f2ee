package io.endiveshed.standins;

/**
 * A call to the store as its faults and counters see it.
 *
 * @param operation what is done
 * @param kind kind of object, which tells the use
 * @param name name or prefix of names; empty for a watch
 */
public record StoreCall(Operation operation, String kind, String name) {
    /** What a call does. */
    public enum Operation {
        GET,
        LIST,
        CREATE,
        UPDATE,
        WATCH;

        /** Tells whether the call may change the store. */
        public boolean isWrite() {
            return this == CREATE || this == UPDATE;
        }
    }
}
