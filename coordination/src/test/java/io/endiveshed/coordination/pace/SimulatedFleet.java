package io.endiveshed.coordination.pace;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import java.util.function.LongFunction;

/**
 * Entries that send calls to one target in virtual time, each through its own slow start. Calls that the slow start holds
 * back go elsewhere. The target works on as many calls at once as it has slots, and fails or is slow as told.
 */
final class SimulatedFleet {
    private static final int SLOTS = 6;
    private static final double CALL_MILLIS = 200;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TOLERATED_NANOS = 360 * NANOS_PER_MILLI;

    private final Random random = new Random(20_261_205);
    private final List<Gate> gates = new ArrayList<>();
    private final List<Integer> openOfEntry = new ArrayList<>();
    private final boolean knowsOthers;
    private final DoubleUnaryOperator slowdown;
    private final DoubleUnaryOperator failureShare;
    private final PriorityQueue<Call> running = new PriorityQueue<>((a, b) -> Double.compare(a.endMillis, b.endMillis));
    private final Deque<Call> waiting = new ArrayDeque<>();
    private final long[] offeredPerSecond = new long[60];
    private final long[] sentPerSecond = new long[60];
    private int bad;
    private int peakOpen;
    private double nowMillis;

    /**
     * Creates a fleet.
     *
     * @param knowsOthers whether each entry knows the open calls of the others, as it does for engines
     * @param slowdown factor of the duration of a call at a time in milliseconds
     * @param failureShare share of the calls that fail at a time in milliseconds
     */
    SimulatedFleet(
            int entries,
            boolean knowsOthers,
            DoubleUnaryOperator slowdown,
            DoubleUnaryOperator failureShare,
            GateFactory factory) {
        this.knowsOthers = knowsOthers;
        this.slowdown = slowdown;
        this.failureShare = failureShare;
        for (int i = 0; i < entries; i++) {
            int entry = i;
            openOfEntry.add(0);
            gates.add(factory.create(SLOTS, now -> new OpenWork(openAt(entry), 0)));
        }
    }

    private int openAt(int entry) {
        return knowsOthers ? running.size() + waiting.size() : openOfEntry.get(entry);
    }

    /** Sends calls at the given rate from all entries together for some seconds. */
    SimulatedFleet run(double callsPerSecond, int seconds) {
        double endMillis = nowMillis + seconds * 1000.0;
        double nextMillis = nowMillis;
        while (nextMillis < endMillis) {
            nextMillis += -Math.log(1 - random.nextDouble()) * 1000 / callsPerSecond;
            while (!running.isEmpty() && running.peek().endMillis <= nextMillis) {
                end(running.poll());
            }
            nowMillis = nextMillis;
            send(random.nextInt(gates.size()));
        }
        return this;
    }

    private void send(int entry) {
        int second = Math.min(sentPerSecond.length - 1, (int) (nowMillis / 1000));
        offeredPerSecond[second]++;
        if (!gates.get(entry).allows(nanos())) {
            return;
        }
        sentPerSecond[second]++;
        openOfEntry.set(entry, openOfEntry.get(entry) + 1);
        waiting.addLast(new Call(entry, nowMillis));
        startWaiting();
        peakOpen = Math.max(peakOpen, running.size() + waiting.size());
    }

    private void startWaiting() {
        while (running.size() < SLOTS && !waiting.isEmpty()) {
            Call call = waiting.removeFirst();
            call.endMillis = nowMillis + CALL_MILLIS * slowdown.applyAsDouble(nowMillis);
            running.add(call);
        }
    }

    private void end(Call call) {
        nowMillis = call.endMillis;
        openOfEntry.set(call.entry, openOfEntry.get(call.entry) - 1);
        boolean isBroken = random.nextDouble() < failureShare.applyAsDouble(nowMillis);
        AnswerSign sign =
                isBroken ? AnswerSign.BROKEN : AnswerSign.ofFirstEvent(CALL_MILLIS, nowMillis - call.sentMillis);
        bad += sign == AnswerSign.ON_TIME ? 0 : 1;
        gates.get(call.entry).answered(sign, (long) (call.sentMillis * NANOS_PER_MILLI), nanos());
        for (int other = 0; knowsOthers && other < gates.size(); other++) {
            if (other != call.entry) {
                long sentNanos = (long) (call.sentMillis * NANOS_PER_MILLI);
                long firstEventNanos = sentNanos + (long) (CALL_MILLIS / 2 * NANOS_PER_MILLI);
                gates.get(other).endedElsewhere(firstEventNanos, sentNanos + TOLERATED_NANOS, nanos());
            }
        }
        startWaiting();
    }

    private long nanos() {
        return (long) (nowMillis * NANOS_PER_MILLI);
    }

    /** Returns the number of calls that were late or broken. */
    int bad() {
        return bad;
    }

    /** Returns the largest number of calls that were at the target at once. */
    int peakOpen() {
        return peakOpen;
    }

    /** Returns the share of the calls that were sent, in the seconds from the first to before the last. */
    double sentShare(int fromSecond, int toSecond) {
        double sent = Arrays.stream(sentPerSecond, fromSecond, toSecond).sum();
        return sent / Arrays.stream(offeredPerSecond, fromSecond, toSecond).sum();
    }

    private static final class Call {
        private final int entry;
        private final double sentMillis;
        private double endMillis;

        private Call(int entry, double sentMillis) {
            this.entry = entry;
            this.sentMillis = sentMillis;
        }
    }

    /** Decides for one entry which calls it sends. */
    interface Gate {
        boolean allows(long nowNanos);

        void answered(AnswerSign sign, long sentNanos, long nowNanos);

        void endedElsewhere(long firstEventNanos, long endNanos, long nowNanos);
    }

    /** Creates the gate of one entry. */
    @FunctionalInterface
    interface GateFactory {
        Gate create(int slots, LongFunction<OpenWork> openWork);
    }
}
