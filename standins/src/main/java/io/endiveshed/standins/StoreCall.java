package io.endiveshed.standins;

/**
 * Description of a call to the store, by which faults are selected and calls are counted.
 *
 * @param operation operation of the call
 * @param kind kind of the objects, which identifies their use
 * @param name object name, or name prefix for a list; empty for a watch
 */
public record StoreCall(Operation operation, String kind, String name) {
    /** Operation on the store. */
    public enum Operation {
        GET,
        LIST,
        CREATE,
        UPDATE,
        WATCH;

        /** Returns whether the call may change the store. */
        public boolean isWrite() {
            return this == CREATE || this == UPDATE;
        }
    }
}
