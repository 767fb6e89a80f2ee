package io.endiveshed.coordination.cell;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

/**
 * Holds one immutable value; readers never wait, writers replace the value as a whole.
 *
 * @param <T> type of the value, which must be immutable
 */
public final class AtomicValue<T> {
    private final AtomicReference<T> value;

    /** Makes a cell with a first value. */
    public AtomicValue(T initial) {
        this.value = new AtomicReference<>(Objects.requireNonNull(initial));
    }

    /** Returns the current value. */
    public T read() {
        return value.get();
    }

    /** Replaces the value by the result of a function without side effects, and returns the new value. */
    public T update(UnaryOperator<T> change) {
        return value.updateAndGet(change);
    }
}
