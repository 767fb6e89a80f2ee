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
 * Queue of the records that this process writes to one partition of the claim log. Starts the store operations of the
 * partition one at a time. Methods may be called by any thread; all state is confined to the executor.
 */
final class PartitionQueue {
    private final ClaimSettings settings;
    private final ClaimEnvironment environment;
    private final SerialExecutor executor = new SerialExecutor();
    private final PartitionLog log;
    private final Deque<PendingRecord> queue = new ArrayDeque<>();
    private final List<PendingLookup> pendingLookups = new ArrayList<>();
    private final Backoff backoff;

    /** Last failure of the store, until its back-off delay has passed; else null. */
    private Failure unavailability;

    private boolean timerScheduled;

    /** Whether the end of the log must be read before the next append, because records were not written. */
    private boolean mustReadToEnd;

    private long nextAppendNanos;

    PartitionQueue(ServiceName service, int number, ClaimSettings settings, ClaimEnvironment environment) {
        this.settings = settings;
        this.environment = environment;
        this.backoff = new Backoff(environment.random());
        this.log = new PartitionLog(service, number, settings, environment, executor, new LogListener());
        this.nextAppendNanos = environment.scheduler().nanoTime();
    }

    /** Lookup that waits for a read of the end of the log. */
    private record PendingLookup(ClaimKey key, CompletableFuture<Optional<ClaimTable.Claim>> result) {}

    /** Queues a record and completes with its effect, or with another effect if it is not applied within a time. */
    CompletionStage<RecordEffect> submit(ClaimRecord record, Duration maxWait, RecordEffect effectOnTimeout) {
        PendingRecord pending = new PendingRecord(record);
        executor.execute(() -> enqueue(pending));
        environment
                .scheduler()
                .schedule(maxWait, () -> executor.execute(() -> completeEarly(pending, effectOnTimeout)));
        return pending.result();
    }

    /** Queues a record without a time limit and completes with its effect. */
    CompletionStage<RecordEffect> submit(ClaimRecord record) {
        PendingRecord pending = new PendingRecord(record);
        executor.execute(() -> enqueue(pending));
        return pending.result();
    }

    /**
     * Releases the claim of an attempt. A claim that is queued or being written completes with the given effect, and is
     * released if its write succeeds; a granted claim is released by a record.
     */
    void release(ClaimRecord.Released release, RecordEffect effectOfWaitingClaim) {
        executor.execute(() -> {
            Optional<PendingRecord> waiting = findWaitingClaim(release);
            if (waiting.isPresent()) {
                completeEarly(waiting.get(), effectOfWaitingClaim);
            } else {
                enqueue(new PendingRecord(release));
            }
        });
    }

    /**
     * Completes with the claim of a key at the end of the log, or with the last known claim if the end cannot be read
     * within a time.
     */
    CompletionStage<Optional<ClaimTable.Claim>> lookup(ClaimKey key, Duration maxWait) {
        PendingLookup lookup = new PendingLookup(key, new CompletableFuture<>());
        executor.execute(() -> {
            pendingLookups.add(lookup);
            startNextOperation();
        });
        environment
                .scheduler()
                .schedule(
                        maxWait,
                        () -> executor.execute(() -> {
                            pendingLookups.remove(lookup);
                            lookup.result().complete(findClaim(key));
                        }));
        return lookup.result();
    }

    private void enqueue(PendingRecord pending) {
        if (pending.isClaim() && log.isLoaded()) {
            completeIfDecided(pending);
        }
        if (pending.result().isDone()) {
            return;
        }
        if (pending.isClaim() && unavailability != null) {
            pending.completeEarly(new ClaimDecision.Unavailable(unavailability));
        } else if (pending.isClaim() && queue.size() >= settings.maxQueued()) {
            pending.completeEarly(new ClaimDecision.Unavailable(queueFull()));
        } else {
            queue.add(pending);
            startNextOperation();
        }
    }

    private void completeEarly(PendingRecord pending, RecordEffect effect) {
        queue.remove(pending);
        if (!pending.result().isDone()) {
            pending.completeEarly(effect);
        }
    }

    private Optional<PendingRecord> findWaitingClaim(ClaimRecord.Released release) {
        List<PendingRecord> candidates = new ArrayList<>(queue);
        candidates.addAll(log.unconfirmedRecords());
        return candidates.stream()
                .filter(pending -> pending.isClaim() && !pending.result().isDone())
                .filter(pending -> pending.record().attempt().equals(release.attempt())
                        && pending.record().key().equals(release.key()))
                .findFirst();
    }

    /** Starts the next store operation, if one is needed and none is in progress. */
    private void startNextOperation() {
        if (log.isBusy() || unavailability != null) {
            return;
        }
        if (log.hasUnconfirmedEntry()) {
            log.resolveUnconfirmed();
        } else if (log.isLoaded()) {
            startNextOperationOnLoadedLog();
        } else if (!queue.isEmpty() || !pendingLookups.isEmpty()) {
            log.reload();
        }
    }

    private void startNextOperationOnLoadedLog() {
        completeDecidedClaims();
        if (mustReadToEnd || !pendingLookups.isEmpty() || queue.stream().anyMatch(this::mustCheckAgainstEnd)) {
            checkAgainstEnd();
        } else if (queue.isEmpty()) {
            return;
        } else if (log.isSnapshotDue()) {
            log.writeSnapshot();
        } else {
            appendAfterInterval();
        }
    }

    /** Appends the next batch, or schedules the append at the end of the commit interval. */
    private void appendAfterInterval() {
        long wait = nextAppendNanos - environment.scheduler().nanoTime();
        if (wait > 0) {
            scheduleNextOperation(Duration.ofNanos(wait));
            return;
        }
        nextAppendNanos =
                environment.scheduler().nanoTime() + settings.commitInterval().toNanos();
        log.append(nextBatch());
    }

    private void scheduleNextOperation(Duration delay) {
        if (!timerScheduled) {
            timerScheduled = true;
            environment
                    .scheduler()
                    .schedule(
                            delay,
                            () -> executor.execute(() -> {
                                timerScheduled = false;
                                startNextOperation();
                            }));
        }
    }

    private List<PendingRecord> nextBatch() {
        List<PendingRecord> batch = new ArrayList<>();
        int bytes = 0;
        while (!queue.isEmpty() && (batch.isEmpty() || bytes < settings.maxEntryBytes())) {
            PendingRecord next = queue.poll();
            bytes += ClaimCodec.recordBytes(next.record());
            batch.add(next);
        }
        return batch;
    }

    /** Completes the queued claims that are decided without a record. */
    private void completeDecidedClaims() {
        Iterator<PendingRecord> all = queue.iterator();
        while (all.hasNext()) {
            PendingRecord pending = all.next();
            if (pending.isClaim()) {
                completeIfDecided(pending);
            }
            if (pending.result().isDone()) {
                all.remove();
            }
        }
    }

    /**
     * Completes a claim that is decided without a record: by a final decision, or by a refusal at the end of the log.
     */
    private void completeIfDecided(PendingRecord pending) {
        ClaimDecision decision = log.decide((ClaimRecord.Claimed) pending.record());
        boolean isFinal = decision instanceof ClaimDecision.Completed || decision instanceof ClaimDecision.Revoked;
        if (isFinal || (pending.isCheckedAgainstEnd() && !(decision instanceof ClaimDecision.Granted))) {
            pending.completeEarly(decision);
        }
    }

    /**
     * Returns whether a claim would be refused by this replica, which may not have read the release of the earlier
     * claim yet.
     */
    private boolean mustCheckAgainstEnd(PendingRecord pending) {
        return pending.isClaim()
                && !pending.isCheckedAgainstEnd()
                && !(log.decide((ClaimRecord.Claimed) pending.record()) instanceof ClaimDecision.Granted);
    }

    private void checkAgainstEnd() {
        List<PendingRecord> queuedRecords = List.copyOf(queue);
        List<PendingLookup> currentLookups = List.copyOf(pendingLookups);
        log.readNextEntry(() -> {
            mustReadToEnd = false;
            queuedRecords.forEach(pending -> pending.setCheckedAgainstEnd(true));
            pendingLookups.removeAll(currentLookups);
            currentLookups.forEach(lookup -> lookup.result().complete(findClaim(lookup.key())));
        });
    }

    private Optional<ClaimTable.Claim> findClaim(ClaimKey key) {
        return log.isLoaded() ? log.findClaim(key) : Optional.empty();
    }

    private Failure queueFull() {
        return Failure.of(ErrorKind.OVERLOADED)
                .message("more than " + settings.maxQueued() + " records wait for the claim log")
                .retryAfter(Duration.ofSeconds(1))
                .build();
    }

    /** Updates the queue with the results of the log's operations. */
    private final class LogListener implements PartitionLog.Listener {
        @Override
        public void operationEnded() {
            backoff.reset();
            startNextOperation();
        }

        @Override
        public void recordApplied(PendingRecord pending, RecordEffect effect) {
            if (pending.isClaim() && pending.isCompletedEarly() && effect instanceof ClaimDecision.Granted) {
                queue.add(new PendingRecord(new ClaimRecord.Released(
                        pending.record().key(), pending.record().attempt())));
            } else {
                pending.result().complete(effect);
            }
        }

        @Override
        public void recordsNotWritten(List<PendingRecord> batch) {
            // Other processes may have written many entries. Reading to the end of the log before the next append
            // avoids a failed append for each of them.
            mustReadToEnd = true;
            nextAppendNanos = environment.scheduler().nanoTime();
            for (int i = batch.size() - 1; i >= 0; i--) {
                if (!batch.get(i).result().isDone()) {
                    queue.addFirst(batch.get(i));
                }
            }
        }

        @Override
        public void storeUnavailable(String cause) {
            Duration delay = backoff.nextDelay();
            unavailability = Failure.of(ErrorKind.STORE_UNAVAILABLE)
                    .message("the claim log is unavailable: " + cause)
                    .retryAfter(Duration.ofSeconds(1 + delay.toSeconds()))
                    .build();
            refuseClaims(new ClaimDecision.Unavailable(unavailability));
            environment
                    .scheduler()
                    .schedule(
                            delay,
                            () -> executor.execute(() -> {
                                unavailability = null;
                                startNextOperation();
                            }));
        }

        private void refuseClaims(ClaimDecision refusal) {
            queue.removeIf(pending -> {
                if (pending.isClaim()) {
                    pending.completeEarly(refusal);
                }
                return pending.isClaim();
            });
            log.unconfirmedRecords().stream()
                    .filter(pending -> pending.isClaim() && !pending.result().isDone())
                    .forEach(pending -> pending.completeEarly(refusal));
        }
    }
}
