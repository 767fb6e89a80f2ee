package io.endiveshed.coordination.claim;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.base.id.ServiceName;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Queue of the records of this process for one partition, and the one operation on the store that is in progress. All
 * state is used only in the mailbox.
 */
final class Partition {
    private final ClaimSettings settings;
    private final ClaimEnvironment environment;
    private final Mailbox mailbox = new Mailbox();
    private final PartitionLog log;
    private final Deque<Pending> queue = new ArrayDeque<>();
    private final List<Lookup> lookups = new ArrayList<>();
    private final Backoff backoff;
    private Failure unavailable;
    private boolean timerSet;
    private long nextCommitNanos;

    Partition(ServiceName service, int number, ClaimSettings settings, ClaimEnvironment environment) {
        this.settings = settings;
        this.environment = environment;
        this.backoff = new Backoff(environment.random());
        this.log = new PartitionLog(service, number, settings, environment, mailbox, new LogEvents());
        this.nextCommitNanos = environment.nanoClock().nanoTime();
    }

    private record Lookup(ClaimKey key, CompletableFuture<Optional<KeyTable.Claim>> result) {}

    /** Queues a record and completes with its effect, or with another answer when the time is over. */
    CompletionStage<Effect> submit(ClaimRecord record, Duration maxWait, Effect whenTimeIsOver) {
        Pending pending = new Pending(record);
        mailbox.execute(() -> enqueue(pending));
        environment.timers().after(maxWait, () -> mailbox.execute(() -> giveUp(pending, whenTimeIsOver)));
        return pending.result();
    }

    /** Queues a record that must be written however long it takes. */
    CompletionStage<Effect> submit(ClaimRecord record) {
        Pending pending = new Pending(record);
        mailbox.execute(() -> enqueue(pending));
        return pending.result();
    }

    /** Gives back the claim of an attempt, whether it is waiting, on its way or granted. */
    void release(ClaimRecord.Released release, Effect answerToWaitingClaim) {
        mailbox.execute(() -> {
            Optional<Pending> waiting = waitingClaim(release);
            if (waiting.isPresent()) {
                giveUp(waiting.get(), answerToWaitingClaim);
            } else {
                enqueue(new Pending(release));
            }
        });
    }

    /** Reads the claim of a key; without the store, the last known one. */
    CompletionStage<Optional<KeyTable.Claim>> lookup(ClaimKey key, Duration maxWait) {
        Lookup lookup = new Lookup(key, new CompletableFuture<>());
        mailbox.execute(() -> {
            lookups.add(lookup);
            pump();
        });
        environment
                .timers()
                .after(
                        maxWait,
                        () -> mailbox.execute(() -> {
                            lookups.remove(lookup);
                            lookup.result().complete(find(key));
                        }));
        return lookup.result();
    }

    private void enqueue(Pending pending) {
        if (pending.isClaim() && log.isLoaded()) {
            answerIfFinal(pending);
        }
        if (pending.result().isDone()) {
            return;
        }
        if (pending.isClaim() && unavailable != null) {
            pending.abandon(new ClaimDecision.Unavailable(unavailable));
        } else if (pending.isClaim() && queue.size() >= settings.maxQueued()) {
            pending.abandon(new ClaimDecision.Unavailable(overloaded()));
        } else {
            queue.add(pending);
            pump();
        }
    }

    private void giveUp(Pending pending, Effect answer) {
        queue.remove(pending);
        if (!pending.result().isDone()) {
            pending.abandon(answer);
        }
    }

    private Optional<Pending> waitingClaim(ClaimRecord.Released release) {
        List<Pending> candidates = new ArrayList<>(queue);
        candidates.addAll(log.inFlight());
        return candidates.stream()
                .filter(pending -> pending.isClaim() && !pending.result().isDone())
                .filter(pending -> pending.record().attempt().equals(release.attempt())
                        && pending.record().key().equals(release.key()))
                .findFirst();
    }

    /** Starts the next operation on the store, if there is something to do and none is in progress. */
    private void pump() {
        if (log.isBusy() || unavailable != null) {
            return;
        }
        if (log.isInDoubt()) {
            log.resolve();
        } else if (log.isLoaded()) {
            pumpLoaded();
        } else if (!queue.isEmpty() || !lookups.isEmpty()) {
            log.reload();
        }
    }

    private void pumpLoaded() {
        answerClaims();
        if (!lookups.isEmpty() || queue.stream().anyMatch(this::mustCompare)) {
            compareWithEnd();
        } else if (queue.isEmpty()) {
            return;
        } else if (log.isSnapshotDue()) {
            log.writeSnapshot();
        } else {
            appendWhenAllowed();
        }
    }

    private void appendWhenAllowed() {
        long wait = nextCommitNanos - environment.nanoClock().nanoTime();
        if (wait > 0) {
            pumpAfter(Duration.ofNanos(wait));
            return;
        }
        nextCommitNanos =
                environment.nanoClock().nanoTime() + settings.commitInterval().toNanos();
        log.append(nextBatch());
    }

    private void pumpAfter(Duration delay) {
        if (!timerSet) {
            timerSet = true;
            environment
                    .timers()
                    .after(
                            delay,
                            () -> mailbox.execute(() -> {
                                timerSet = false;
                                pump();
                            }));
        }
    }

    private List<Pending> nextBatch() {
        List<Pending> batch = new ArrayList<>();
        int bytes = 0;
        while (!queue.isEmpty() && (batch.isEmpty() || bytes < settings.maxEntryBytes())) {
            Pending next = queue.poll();
            bytes += ClaimCodec.recordBytes(next.record());
            batch.add(next);
        }
        return batch;
    }

    /** Answers the waiting claims that need no record. */
    private void answerClaims() {
        Iterator<Pending> all = queue.iterator();
        while (all.hasNext()) {
            Pending pending = all.next();
            if (pending.isClaim()) {
                answerIfFinal(pending);
            }
            if (pending.result().isDone()) {
                all.remove();
            }
        }
    }

    private void answerIfFinal(Pending pending) {
        ClaimDecision decision = log.decide((ClaimRecord.Claimed) pending.record());
        boolean lasts = decision instanceof ClaimDecision.Completed || decision instanceof ClaimDecision.Revoked;
        if (lasts || (pending.isCompared() && !(decision instanceof ClaimDecision.Granted))) {
            pending.abandon(decision);
        }
    }

    /** Tells whether a claim would be refused, but by an earlier claim that may have been given back meanwhile. */
    private boolean mustCompare(Pending pending) {
        return pending.isClaim()
                && !pending.isCompared()
                && !(log.decide((ClaimRecord.Claimed) pending.record()) instanceof ClaimDecision.Granted);
    }

    private void compareWithEnd() {
        List<Pending> waiting = List.copyOf(queue);
        List<Lookup> asked = List.copyOf(lookups);
        log.readNext(() -> {
            waiting.forEach(pending -> pending.compared(true));
            lookups.removeAll(asked);
            asked.forEach(lookup -> lookup.result().complete(find(lookup.key())));
        });
    }

    private Optional<KeyTable.Claim> find(ClaimKey key) {
        return log.isLoaded() ? log.find(key) : Optional.empty();
    }

    private Failure overloaded() {
        return Failure.of(ErrorKind.OVERLOADED)
                .message("more than " + settings.maxQueued() + " records wait for the claim log")
                .retryAfter(Duration.ofSeconds(1))
                .build();
    }

    /** What the log reports after an operation, in the mailbox. */
    private final class LogEvents implements PartitionLog.Events {
        @Override
        public void progressed() {
            backoff.reset();
            pump();
        }

        @Override
        public void effect(Pending pending, Effect effect) {
            if (pending.isClaim() && pending.isAbandoned() && effect instanceof ClaimDecision.Granted) {
                queue.add(new Pending(new ClaimRecord.Released(
                        pending.record().key(), pending.record().attempt())));
            } else {
                pending.result().complete(effect);
            }
        }

        @Override
        public void notWritten(List<Pending> batch) {
            for (int i = batch.size() - 1; i >= 0; i--) {
                if (!batch.get(i).result().isDone()) {
                    queue.addFirst(batch.get(i));
                }
            }
        }

        @Override
        public void unavailable(String what) {
            Duration delay = backoff.next();
            unavailable = Failure.of(ErrorKind.STORE_UNAVAILABLE)
                    .message("the claim log is out of reach: " + what)
                    .retryAfter(Duration.ofSeconds(1 + delay.toSeconds()))
                    .build();
            refuseClaims(new ClaimDecision.Unavailable(unavailable));
            environment
                    .timers()
                    .after(
                            delay,
                            () -> mailbox.execute(() -> {
                                unavailable = null;
                                pump();
                            }));
        }

        private void refuseClaims(ClaimDecision refusal) {
            queue.removeIf(pending -> {
                if (pending.isClaim()) {
                    pending.abandon(refusal);
                }
                return pending.isClaim();
            });
            log.inFlight().stream()
                    .filter(pending -> pending.isClaim() && !pending.result().isDone())
                    .forEach(pending -> pending.abandon(refusal));
        }
    }
}
