package io.endiveshed.coordination.claim;

import io.endiveshed.base.id.ServiceName;
import io.endiveshed.ports.platform.ObjectKey;
import io.endiveshed.ports.platform.StoreError;
import io.endiveshed.ports.platform.StoredObject;
import io.vavr.control.Either;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Local replica of one partition of the claim log, and the store operations on the partition's objects. At most one
 * operation is in progress at a time. All methods must be called on the partition's {@link SerialExecutor}.
 *
 * <p>An entry whose write is not confirmed is written again, with the same content and the same expected version, until
 * its slot holds an entry with the same or a higher number. A write that the store executes late therefore either
 * writes this entry or fails its condition, and this process appends no other entry before it.
 */
final class PartitionLog {
    /**
     * Consecutive reads of single slots, after which a replica that is still behind lists the whole partition in one
     * call.
     */
    private static final int MAX_CONSECUTIVE_SLOT_READS = 4;

    private final ClaimSettings settings;
    private final ClaimEnvironment environment;
    private final SerialExecutor executor;
    private final Listener listener;
    private final ClaimCodec codec;
    private final PartitionObjects objects;
    private ClaimTable table = new ClaimTable();
    private long lastAppliedNumber;
    private long snapshotNumber;
    private boolean loaded;
    private boolean busy;
    private boolean lastEntryIsOwn;
    private int consecutiveSlotReads;
    private UnconfirmedEntry unconfirmed;

    PartitionLog(
            ServiceName service,
            int number,
            ClaimSettings settings,
            ClaimEnvironment environment,
            SerialExecutor executor,
            Listener listener) {
        this.settings = settings;
        this.environment = environment;
        this.executor = executor;
        this.listener = listener;
        this.codec = new ClaimCodec(service);
        this.objects = new PartitionObjects(service, number, settings.ringSlots());
    }

    /** Receives the results of operations, on the partition's executor. */
    interface Listener {
        /** Called when an operation has ended without a failure of the store, so the next one may start. */
        void operationEnded();

        /** Called with each record of this process and its effect when the record is known to be in the log. */
        void recordApplied(PendingRecord pending, RecordEffect effect);

        /** Called with records that are not in the log and that the attempted write can no longer add. */
        void recordsNotWritten(List<PendingRecord> batch);

        /** Called when an operation has failed, with the failed operation and its error. */
        void storeUnavailable(String cause);
    }

    /**
     * Entry that this process writes and that no read or write has confirmed yet.
     *
     * @param batch records of the entry, in the same order
     * @param outcomeUnknown whether the outcome of a write of the entry is unknown, so that it may be in the log or may
     *     still be executed
     */
    private record UnconfirmedEntry(LogEntry entry, List<PendingRecord> batch, boolean outcomeUnknown) {}

    boolean isLoaded() {
        return loaded;
    }

    boolean isBusy() {
        return busy;
    }

    /** Returns whether this process has an entry that may or may not be in the log. */
    boolean hasUnconfirmedEntry() {
        return unconfirmed != null;
    }

    /** Returns the records of the unconfirmed entry, or an empty list if there is none. */
    List<PendingRecord> unconfirmedRecords() {
        return unconfirmed == null ? List.of() : unconfirmed.batch();
    }

    /** Returns the decision for a claim if it were the next record of the log. */
    ClaimDecision decide(ClaimRecord.Claimed claim) {
        return table.decide(claim, currentLogTimeMillis(), settings.limits());
    }

    /** Returns the claim of a key in this replica, if it has not expired. */
    Optional<ClaimTable.Claim> findClaim(ClaimKey key) {
        return table.findUnexpired(key, currentLogTimeMillis(), settings.limits());
    }

    /**
     * Returns whether a snapshot is written before the next entry: always if that entry would overwrite one that no
     * snapshot covers, and else at the snapshot interval by the process that wrote the last entry.
     */
    boolean isSnapshotDue() {
        boolean required = lastAppliedNumber + 1 - settings.ringSlots() > snapshotNumber;
        return required || (lastEntryIsOwn && lastAppliedNumber - snapshotNumber >= settings.snapshotInterval());
    }

    /** Appends an entry with the records of a batch. */
    void append(List<PendingRecord> batch) {
        LogEntry entry = new LogEntry(
                lastAppliedNumber + 1,
                environment.incarnation(),
                environment.random().nextLong(),
                currentLogTimeMillis(),
                settings.limits(),
                batch.stream().map(PendingRecord::record).toList());
        unconfirmed = new UnconfirmedEntry(entry, batch, false);
        writeUnconfirmed();
    }

    /** Reads the slot of the unconfirmed entry, and writes the entry again if the slot is unchanged. */
    void resolveUnconfirmed() {
        readSlot(unconfirmed.entry().number(), this::writeUnconfirmed);
    }

    /** Reads and applies the next entry, or runs an action if this replica is at the end of the log. */
    void readNextEntry(Runnable atEndOfLog) {
        if (consecutiveSlotReads >= MAX_CONSECUTIVE_SLOT_READS) {
            reload();
            return;
        }
        consecutiveSlotReads++;
        readSlot(lastAppliedNumber + 1, () -> {
            consecutiveSlotReads = 0;
            atEndOfLog.run();
            listener.operationEnded();
        });
    }

    /** Lists the objects of the partition and rebuilds this replica from them. */
    void reload() {
        handleReply(environment.store().list(PartitionObjects.KIND, objects.prefix()), listed -> {
            if (listed.isLeft()) {
                listener.storeUnavailable("list " + objects.prefix() + " failed with " + listed.getLeft());
                return;
            }
            restore(listed.get());
            listener.operationEnded();
        });
    }

    /**
     * Writes the table after the last applied entry as the snapshot, so that the slots of covered entries can be
     * reused.
     */
    void writeSnapshot() {
        long newSnapshotNumber = lastAppliedNumber;
        handleReply(
                objects.write(environment.store(), objects.snapshot(), codec.encode(newSnapshotNumber, table)),
                written -> {
                    if (written.isRight()) {
                        objects.recordVersion(objects.snapshot(), written.get());
                        snapshotNumber = newSnapshotNumber;
                        listener.operationEnded();
                    } else if (isStoreFailure(written.getLeft())) {
                        listener.storeUnavailable(
                                "write of " + objects.snapshot() + " failed with " + written.getLeft());
                    } else {
                        readSnapshot();
                    }
                });
    }

    /** Reads the snapshot after a write of it conflicted or had an unknown outcome. */
    private void readSnapshot() {
        handleReply(environment.store().get(objects.snapshot()), read -> {
            if (read.isLeft()) {
                listener.storeUnavailable("read of " + objects.snapshot() + " failed with " + read.getLeft());
                return;
            }
            read.get().ifPresent(object -> {
                objects.recordVersion(object.key(), object.version());
                snapshotNumber = codec.decodeInto(object.value(), new ClaimTable());
            });
            if (snapshotNumber > lastAppliedNumber) {
                reload();
            } else {
                listener.operationEnded();
            }
        });
    }

    private void writeUnconfirmed() {
        LogEntry entry = unconfirmed.entry();
        ObjectKey slot = objects.slot(entry.number());
        handleReply(objects.write(environment.store(), slot, codec.encode(entry)), written -> {
            if (written.isRight()) {
                objects.recordVersion(slot, written.get());
                apply(entry);
                listener.operationEnded();
            } else {
                writeNotConfirmed(written.getLeft());
            }
        });
    }

    private void writeNotConfirmed(StoreError error) {
        if (!isStoreFailure(error)) {
            unconfirmed = new UnconfirmedEntry(
                    unconfirmed.entry(),
                    unconfirmed.batch(),
                    unconfirmed.outcomeUnknown() || error == StoreError.UNKNOWN);
            resolveUnconfirmed();
            return;
        }
        if (!unconfirmed.outcomeUnknown()) {
            List<PendingRecord> batch = unconfirmed.batch();
            unconfirmed = null;
            listener.recordsNotWritten(batch);
        }
        listener.storeUnavailable("append failed with " + error);
    }

    private void readSlot(long number, Runnable ifSlotUnchanged) {
        ObjectKey slot = objects.slot(number);
        handleReply(environment.store().get(slot), read -> {
            if (read.isLeft()) {
                listener.storeUnavailable("read of " + slot + " failed with " + read.getLeft());
                return;
            }
            long found = read.get().map(this::entryNumber).orElse(0L);
            if (found == number) {
                objects.recordVersion(slot, read.get().get().version());
                apply(codec.decodeEntry(read.get().get().value()));
                listener.operationEnded();
            } else if (found > number || !isLastKnownVersion(slot, read.get())) {
                reload();
            } else {
                ifSlotUnchanged.run();
            }
        });
    }

    private boolean isLastKnownVersion(ObjectKey slot, Optional<StoredObject> found) {
        return objects.version(slot).equals(found.map(StoredObject::version));
    }

    private long entryNumber(StoredObject slot) {
        return codec.decodeEntry(slot.value()).number();
    }

    private void apply(LogEntry entry) {
        List<RecordEffect> effects = table.apply(entry);
        lastAppliedNumber = entry.number();
        lastEntryIsOwn = entry.writer().equals(environment.incarnation());
        if (unconfirmed == null || unconfirmed.entry().number() != entry.number()) {
            return;
        }
        UnconfirmedEntry own = unconfirmed;
        unconfirmed = null;
        if (!own.entry().isSameWrite(entry)) {
            listener.recordsNotWritten(own.batch());
            return;
        }
        for (int i = 0; i < effects.size(); i++) {
            listener.recordApplied(own.batch().get(i), effects.get(i));
        }
    }

    private void restore(List<StoredObject> listed) {
        table = new ClaimTable();
        lastAppliedNumber = 0;
        Map<Long, StoredObject> entries = new HashMap<>();
        for (StoredObject object : listed) {
            objects.recordVersion(object.key(), object.version());
            if (object.key().equals(objects.snapshot())) {
                lastAppliedNumber = codec.decodeInto(object.value(), table);
            } else {
                entries.put(entryNumber(object), object);
            }
        }
        snapshotNumber = lastAppliedNumber;
        loaded = true;
        consecutiveSlotReads = 0;
        resolveUnconfirmedFromSnapshot();
        while (entries.containsKey(lastAppliedNumber + 1)) {
            apply(codec.decodeEntry(entries.get(lastAppliedNumber + 1).value()));
        }
        // The store may read the objects of a list at different times. If the snapshot is older than the slots, the
        // next entry may have been overwritten; the next read of its slot then finds a later entry and reloads.
    }

    /** Resolves the unconfirmed entry from the table if a snapshot covers it, as its slot may have been overwritten. */
    private void resolveUnconfirmedFromSnapshot() {
        if (unconfirmed == null || unconfirmed.entry().number() > lastAppliedNumber) {
            return;
        }
        List<PendingRecord> batch = unconfirmed.batch();
        unconfirmed = null;
        for (PendingRecord pending : batch) {
            if (isClaimedByThisProcess(pending.record())) {
                listener.recordApplied(pending, new ClaimDecision.Granted());
            } else {
                // A claim that is not in the table can be written again; all other records are idempotent.
                listener.recordsNotWritten(List.of(pending));
            }
        }
    }

    private boolean isClaimedByThisProcess(ClaimRecord record) {
        return record instanceof ClaimRecord.Claimed claimed
                && findClaim(record.key())
                        .filter(claim -> claim.attempt().equals(claimed.attempt())
                                && claim.holder().equals(claimed.holder()))
                        .isPresent();
    }

    private long currentLogTimeMillis() {
        return Math.max(environment.clock().time(), table.logTimeMillis());
    }

    /** Returns whether a write failed without a version conflict and with a known outcome. */
    private static boolean isStoreFailure(StoreError error) {
        return error != StoreError.CONFLICT && error != StoreError.UNKNOWN;
    }

    /**
     * Marks an operation as in progress, and handles its reply on the executor; an exception counts as an unknown
     * outcome.
     */
    private <T> void handleReply(
            CompletionStage<Either<StoreError, T>> reply, Consumer<Either<StoreError, T>> whenDone) {
        busy = true;
        reply.whenComplete((result, error) -> executor.execute(() -> {
            busy = false;
            try {
                whenDone.accept(error == null ? result : Either.left(StoreError.UNKNOWN));
            } catch (UncheckedIOException e) {
                Logger.error(e, "object of claim log {} cannot be decoded", objects.prefix());
                listener.storeUnavailable(e.getMessage());
            }
        }));
    }
}
