package io.endiveshed.coordination.queueing;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.AttemptId;
import io.endiveshed.base.id.InstanceId;
import io.endiveshed.coordination.cost.LengthBand;
import io.endiveshed.coordination.routing.BandWork;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.LongSupplier;

/**
 * Priority queue that serves requests with little predicted work first, with bounded ageing. Not thread-safe: used by
 * one thread only.
 *
 * <p>The due time of a request is its arrival time plus a delay that grows with its predicted work up to {@link
 * QueueSettings#maxDelayNanos}; the request with the earliest due time is served first. Since all waiting requests age
 * at the same rate, the order between two of them never changes and a sorted set can hold them. A request is overtaken
 * only by requests that arrive within the maximum delay after it.
 *
 * <p>A request that does not fit into the free memory is overtaken by smaller ones until it is due; after that, no
 * other request above the short band starts before it. Short prompts have reserved memory, and waiting longer requests
 * never delay them.
 */
public final class ShortFirstQueue implements RequestQueue {
    /** Prefill work at which the engine priority value becomes 1, in nanoseconds; each doubling increases it by one. */
    private static final long PRIORITY_UNIT_NANOS = 25_000_000L;

    private final QueueSettings settings;
    private final LongSupplier nanoClock;
    private final TreeSet<Item> waitingItems = new TreeSet<>();
    private final Map<AttemptId, Item> items = new HashMap<>();
    private final WorkByEntry work = new WorkByEntry();
    private long reservedTokens;
    private long longerReservedTokens;
    private long waitingTokens;
    private int running;
    private int longerPrefills;
    private long sequence;

    /** Creates an empty queue that reads time from a monotonic clock in nanoseconds. */
    public ShortFirstQueue(QueueSettings settings, LongSupplier nanoClock) {
        this.settings = settings;
        this.nanoClock = nanoClock;
    }

    @Override
    public Either<Failure, QueuedRequest> offer(QueuedRequest request) {
        Optional<Failure> refusal = refusal(request);
        if (refusal.isPresent()) {
            return Either.left(refusal.get());
        }
        Item item = new Item(request, dueNanos(request), sequence++);
        items.put(request.attempt(), item);
        waitingItems.add(item);
        waitingTokens += request.kvTokens();
        work.add(request.entry(), BandWork.in(request.band(), request.workNanos()));
        return Either.right(request);
    }

    @Override
    public Optional<StartedRequest> poll() {
        if (running >= settings.maxRunningRequests()) {
            return Optional.empty();
        }
        long now = nanoClock.getAsLong();
        boolean isLongerHeld = longerPrefills >= settings.maxLongerPrefills();
        for (Item item : waitingItems) {
            boolean isShort = item.request.band() == LengthBand.SHORT;
            if (!isShort && isLongerHeld) {
                continue;
            }
            if (fits(item.request)) {
                return Optional.of(start(item, now));
            }
            isLongerHeld |= !isShort && item.dueNanos <= now;
        }
        return Optional.empty();
    }

    @Override
    public void recordFirstToken(AttemptId attempt) {
        Item item = items.get(attempt);
        if (item == null || !item.isStarted || item.isPrefilled) {
            return;
        }
        item.isPrefilled = true;
        QueuedRequest request = item.request;
        work.subtract(request.entry(), BandWork.in(request.band(), request.prefillNanos()));
        if (request.band() != LengthBand.SHORT) {
            longerPrefills--;
        }
    }

    @Override
    public boolean finish(AttemptId attempt) {
        Item item = items.remove(attempt);
        if (item == null) {
            return false;
        }
        QueuedRequest request = item.request;
        long remaining = item.isPrefilled ? request.decodeNanos() : request.workNanos();
        work.subtract(request.entry(), BandWork.in(request.band(), remaining));
        if (!item.isStarted) {
            waitingItems.remove(item);
            waitingTokens -= request.kvTokens();
            return false;
        }
        running--;
        reservedTokens -= request.kvTokens();
        if (request.band() != LengthBand.SHORT) {
            longerReservedTokens -= request.kvTokens();
            longerPrefills -= item.isPrefilled ? 0 : 1;
        }
        return true;
    }

    @Override
    public boolean revoke(AttemptId attempt) {
        Item item = items.get(attempt);
        if (item == null || item.isStarted) {
            return false;
        }
        finish(attempt);
        return true;
    }

    @Override
    public List<QueuedRequest> removeExpired() {
        long now = nanoClock.getAsLong();
        List<QueuedRequest> expired = new ArrayList<>();
        for (Iterator<Item> each = waitingItems.iterator(); each.hasNext(); ) {
            QueuedRequest request = each.next().request;
            if (now + request.workNanos() > request.deadlineNanos()) {
                expired.add(request);
            }
        }
        expired.forEach(request -> finish(request.attempt()));
        return expired;
    }

    @Override
    public BandWork outstandingWork() {
        return work.total();
    }

    @Override
    public BandWork outstandingWorkOf(InstanceId entry) {
        return work.of(entry);
    }

    @Override
    public long freeKvTokens() {
        return settings.kvCapacityTokens() - reservedTokens - waitingTokens;
    }

    private Optional<Failure> refusal(QueuedRequest request) {
        if (items.containsKey(request.attempt())) {
            return Optional.of(Failure.of(ErrorKind.PROTOCOL_ERROR)
                    .message("attempt " + request.attempt() + " is already queued or running")
                    .build());
        }
        long limit = settings.kvCapacityTokens();
        if (request.kvTokens() > limit) {
            return Optional.of(Failure.of(ErrorKind.PROMPT_TOO_LONG)
                    .message("prompt and answer need " + request.kvTokens() + " tokens of KV memory, the limit is "
                            + limit)
                    .build());
        }
        long wait = predictedWaitNanos(request);
        if (waitingItems.size() >= settings.maxWaitingRequests()) {
            return Optional.of(
                    overloaded("the queue is full: " + settings.maxWaitingRequests() + " requests are waiting", wait));
        }
        long remaining = request.deadlineNanos() - nanoClock.getAsLong();
        if (wait + request.workNanos() > remaining) {
            return Optional.of(overloaded(
                    "the request would finish after " + toMillis(wait + request.workNanos())
                            + " ms, its deadline is in " + toMillis(remaining) + " ms",
                    wait + request.workNanos() - remaining));
        }
        return Optional.empty();
    }

    private static Failure overloaded(String message, long retryAfterNanos) {
        return Failure.of(ErrorKind.OVERLOADED)
                .message(message)
                .retryAfter(Duration.ofNanos(retryAfterNanos))
                .build();
    }

    private long predictedWaitNanos(QueuedRequest request) {
        return work.total().nanosUpTo(request.band());
    }

    private static long toMillis(long nanos) {
        return Duration.ofNanos(nanos).toMillis();
    }

    private long dueNanos(QueuedRequest request) {
        double delay = settings.delayPerWork() * request.workNanos();
        return request.arrivedNanos() + (long) Math.min((double) settings.maxDelayNanos(), delay);
    }

    private boolean fits(QueuedRequest request) {
        long capacity = settings.kvCapacityTokens();
        if (reservedTokens + request.kvTokens() > capacity) {
            return false;
        }
        // A prompt above the short band may use the reserve while no other longer prompt runs; otherwise a prompt that
        // needs the whole memory could never start.
        return request.band() == LengthBand.SHORT
                || longerReservedTokens == 0
                || longerReservedTokens + request.kvTokens() <= capacity - settings.shortReserveTokens();
    }

    private StartedRequest start(Item item, long now) {
        waitingItems.remove(item);
        item.isStarted = true;
        running++;
        waitingTokens -= item.request.kvTokens();
        reservedTokens += item.request.kvTokens();
        if (item.request.band() != LengthBand.SHORT) {
            longerReservedTokens += item.request.kvTokens();
            longerPrefills++;
        }
        return new StartedRequest(item.request, enginePriority(item, now));
    }

    /** Returns the engine priority; it is fixed until the first token, so a request that has aged gets a better one. */
    private int enginePriority(Item item, long now) {
        double aged = Math.max(0, item.dueNanos - now) / settings.delayPerWork();
        long work = Math.min(item.request.prefillNanos(), (long) aged);
        return 64 - Long.numberOfLeadingZeros(work / PRIORITY_UNIT_NANOS);
    }

    private static final class Item implements Comparable<Item> {
        private final QueuedRequest request;
        private final long dueNanos;
        private final long sequence;
        private boolean isStarted;
        private boolean isPrefilled;

        Item(QueuedRequest request, long dueNanos, long sequence) {
            this.request = request;
            this.dueNanos = dueNanos;
            this.sequence = sequence;
        }

        @Override
        public int compareTo(Item other) {
            int byDue = Long.compare(dueNanos, other.dueNanos);
            return byDue != 0 ? byDue : Long.compare(sequence, other.sequence);
        }
    }
}
