package io.endiveshed.standins;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.function.Function;
import org.agrona.concurrent.NanoClock;

/** Faults injected into an {@link InMemoryObjectStore}. Thread-safe; may be changed while calls are in flight. */
public final class StoreFaults {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final NanoClock clock;
    private final Deque<StoreFault> writeFaults = new ArrayDeque<>();
    private Duration replyDelay = Duration.ZERO;
    private boolean isOutage;
    private Function<StoreCall, StoreFault> faultSelector = call -> StoreFault.NONE;
    private int maxCallsPerSecond = Integer.MAX_VALUE;
    private long secondStartNanos;
    private int callsInSecond;

    StoreFaults(NanoClock clock) {
        this.clock = clock;
    }

    /** Sets the time from a call to its reply. The call takes effect after half of this time. */
    public synchronized void setReplyDelay(Duration value) {
        this.replyDelay = Objects.requireNonNull(value);
    }

    /** Starts or ends an outage, during which every call is refused. */
    public synchronized void setOutage(boolean value) {
        this.isOutage = value;
    }

    /** Queues a fault for the next write that has no queued fault yet. */
    public synchronized void failNextWrite(StoreFault fault) {
        writeFaults.add(Objects.requireNonNull(fault));
    }

    /** Sets the function that selects the fault of each call that neither an outage nor a queued fault affects. */
    public synchronized void setFaultSelector(Function<StoreCall, StoreFault> value) {
        this.faultSelector = Objects.requireNonNull(value);
    }

    /** Sets the maximum number of calls that are accepted per second; further calls are refused. */
    public synchronized void setMaxCallsPerSecond(int calls) {
        this.maxCallsPerSecond = calls;
    }

    synchronized Duration replyDelay() {
        return replyDelay;
    }

    synchronized boolean isOutage() {
        return isOutage;
    }

    synchronized StoreFault nextFault(StoreCall call) {
        if (isOutage || exceedsRate()) {
            return StoreFault.UNAVAILABLE;
        }
        if (call.operation().isWrite() && !writeFaults.isEmpty()) {
            return writeFaults.remove();
        }
        return faultSelector.apply(call);
    }

    private boolean exceedsRate() {
        long nowNanos = clock.nanoTime();
        if (nowNanos - secondStartNanos >= NANOS_PER_SECOND) {
            secondStartNanos = nowNanos;
            callsInSecond = 0;
        }
        callsInSecond++;
        return callsInSecond > maxCallsPerSecond;
    }
}
