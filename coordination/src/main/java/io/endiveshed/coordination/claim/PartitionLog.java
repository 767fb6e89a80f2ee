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
 * One partition of the log as this process knows it, and the operations on its objects, one at a time. Used only in the
 * mailbox of the partition.
 *
 * <p>An entry whose write was not confirmed stays in flight until its slot is seen to hold an entry of that number or a
 * later one: the identical write is repeated under the identical condition. So a write that takes effect late either
 * is this entry or fails its condition, and no other entry of this process can overtake it.
 */
final class PartitionLog {
    private final ClaimSettings settings;
    private final ClaimEnvironment environment;
    private final Mailbox mailbox;
    private final Events events;
    private final ClaimCodec codec;
    private final SlotRing ring;
    private KeyTable table = new KeyTable();
    private long applied;
    private long covered;
    private boolean loaded;
    private boolean busy;
    private boolean lastEntryIsOurs;
    private InFlight inFlight;

    PartitionLog(
            ServiceName service,
            int number,
            ClaimSettings settings,
            ClaimEnvironment environment,
            Mailbox mailbox,
            Events events) {
        this.settings = settings;
        this.environment = environment;
        this.mailbox = mailbox;
        this.events = events;
        this.codec = new ClaimCodec(service);
        this.ring = new SlotRing(service, number, settings.ringSlots());
    }

    /** Receives what an operation led to. */
    interface Events {
        /** An operation has ended; the next one may start. */
        void progressed();

        /** A record is in the log and had an effect. */
        void effect(Pending pending, Effect effect);

        /** The records are not in the log and never will be by the write that was tried. */
        void notWritten(List<Pending> batch);

        /** The store cannot be used now. */
        void unavailable(String what);
    }

    private record InFlight(LogEntry entry, List<Pending> batch, boolean doubtful) {}

    boolean isLoaded() {
        return loaded;
    }

    boolean isBusy() {
        return busy;
    }

    /** Tells whether an entry of this process may or may not be in the log. */
    boolean isInDoubt() {
        return inFlight != null;
    }

    List<Pending> inFlight() {
        return inFlight == null ? List.of() : inFlight.batch();
    }

    /** Returns the decision that a claim would get as the next record. */
    ClaimDecision decide(ClaimRecord.Claimed claim) {
        return table.decide(claim, now(), settings.limits());
    }

    Optional<KeyTable.Claim> find(ClaimKey key) {
        return table.lookup(key, now(), settings.limits());
    }

    /** Tells whether a snapshot must or should be written before the next entry. */
    boolean isSnapshotDue() {
        boolean required = applied + 1 - settings.ringSlots() > covered;
        return required || (lastEntryIsOurs && applied - covered >= settings.snapshotInterval());
    }

    /** Writes the next entry. */
    void append(List<Pending> batch) {
        LogEntry entry = new LogEntry(
                applied + 1,
                environment.incarnation(),
                environment.random().nextLong(),
                now(),
                settings.limits(),
                batch.stream().map(Pending::record).toList());
        inFlight = new InFlight(entry, batch, false);
        write();
    }

    /** Finds out whether the entry in flight is in the log, and writes it again if its slot is still free. */
    void resolve() {
        read(inFlight.entry().number(), this::write);
    }

    /** Reads the slot of the next entry; runs the action if the log has not gone on. */
    void readNext(Runnable atEnd) {
        read(applied + 1, () -> {
            atEnd.run();
            events.progressed();
        });
    }

    /** Reads the whole partition again. */
    void reload() {
        call(environment.store().list(SlotRing.KIND, ring.prefix()), listed -> {
            if (listed.isLeft()) {
                events.unavailable("list " + ring.prefix() + " failed with " + listed.getLeft());
                return;
            }
            restore(listed.get());
            events.progressed();
        });
    }

    /** Writes the state after the last applied entry, so that the slots up to it may be written again. */
    void writeSnapshot() {
        long covers = applied;
        call(ring.write(environment.store(), ring.snapshot(), codec.encode(covers, table)), written -> {
            if (written.isRight()) {
                ring.note(ring.snapshot(), written.get());
                covered = covers;
                events.progressed();
            } else if (isRefusal(written.getLeft())) {
                events.unavailable("write of " + ring.snapshot() + " failed with " + written.getLeft());
            } else {
                readSnapshot();
            }
        });
    }

    private void readSnapshot() {
        call(environment.store().get(ring.snapshot()), read -> {
            if (read.isLeft()) {
                events.unavailable("read of " + ring.snapshot() + " failed with " + read.getLeft());
                return;
            }
            read.get().ifPresent(object -> {
                ring.note(object.key(), object.version());
                covered = codec.decodeInto(object.value(), new KeyTable());
            });
            if (covered > applied) {
                reload();
            } else {
                events.progressed();
            }
        });
    }

    private void write() {
        LogEntry entry = inFlight.entry();
        ObjectKey slot = ring.slot(entry.number());
        call(ring.write(environment.store(), slot, codec.encode(entry)), written -> {
            if (written.isRight()) {
                ring.note(slot, written.get());
                apply(entry);
                events.progressed();
            } else {
                notConfirmed(written.getLeft());
            }
        });
    }

    private void notConfirmed(StoreError error) {
        if (!isRefusal(error)) {
            inFlight = new InFlight(
                    inFlight.entry(), inFlight.batch(), inFlight.doubtful() || error == StoreError.UNKNOWN);
            resolve();
            return;
        }
        if (!inFlight.doubtful()) {
            List<Pending> batch = inFlight.batch();
            inFlight = null;
            events.notWritten(batch);
        }
        events.unavailable("append failed with " + error);
    }

    private void read(long number, Runnable ifNotWritten) {
        ObjectKey slot = ring.slot(number);
        call(environment.store().get(slot), read -> {
            if (read.isLeft()) {
                events.unavailable("read of " + slot + " failed with " + read.getLeft());
                return;
            }
            long found = read.get().map(this::numberOf).orElse(0L);
            if (found == number) {
                ring.note(slot, read.get().get().version());
                apply(codec.decodeEntry(read.get().get().value()));
                events.progressed();
            } else if (found > number || !sameVersion(slot, read.get())) {
                reload();
            } else {
                ifNotWritten.run();
            }
        });
    }

    private boolean sameVersion(ObjectKey slot, Optional<StoredObject> found) {
        return ring.version(slot).equals(found.map(StoredObject::version));
    }

    private long numberOf(StoredObject slot) {
        return codec.decodeEntry(slot.value()).number();
    }

    private void apply(LogEntry entry) {
        List<Effect> effects = table.apply(entry);
        applied = entry.number();
        lastEntryIsOurs = entry.writer().equals(environment.incarnation());
        if (inFlight == null || inFlight.entry().number() != entry.number()) {
            return;
        }
        InFlight ours = inFlight;
        inFlight = null;
        if (!ours.entry().isSameWrite(entry)) {
            events.notWritten(ours.batch());
            return;
        }
        for (int i = 0; i < effects.size(); i++) {
            events.effect(ours.batch().get(i), effects.get(i));
        }
    }

    private void restore(List<StoredObject> objects) {
        table = new KeyTable();
        applied = 0;
        Map<Long, StoredObject> entries = new HashMap<>();
        for (StoredObject object : objects) {
            ring.note(object.key(), object.version());
            if (object.key().equals(ring.snapshot())) {
                applied = codec.decodeInto(object.value(), table);
            } else {
                entries.put(numberOf(object), object);
            }
        }
        covered = applied;
        loaded = true;
        settleCovered();
        while (entries.containsKey(applied + 1)) {
            apply(codec.decodeEntry(entries.get(applied + 1).value()));
        }
        // The objects of a list may be read at different times. If the snapshot is older than the slots, the next
        // entry was overwritten already; the next read of its slot finds a later entry and reloads.
    }

    /** Decides about an entry in flight whose slot was written again after a snapshot covered it. */
    private void settleCovered() {
        if (inFlight == null || inFlight.entry().number() > applied) {
            return;
        }
        List<Pending> batch = inFlight.batch();
        inFlight = null;
        for (Pending pending : batch) {
            if (isHeldByUs(pending.record())) {
                events.effect(pending, new ClaimDecision.Granted());
            } else {
                // Not in the table, so it may be written again; all records but claims have the same effect twice.
                events.notWritten(List.of(pending));
            }
        }
    }

    private boolean isHeldByUs(ClaimRecord record) {
        return record instanceof ClaimRecord.Claimed claimed
                && find(record.key())
                        .filter(claim -> claim.attempt().equals(claimed.attempt())
                                && claim.holder().equals(claimed.holder()))
                        .isPresent();
    }

    private long now() {
        return Math.max(environment.clock().time(), table.logTimeMillis());
    }

    private static boolean isRefusal(StoreError error) {
        return error != StoreError.CONFLICT && error != StoreError.UNKNOWN;
    }

    private <T> void call(CompletionStage<Either<StoreError, T>> reply, Consumer<Either<StoreError, T>> whenDone) {
        busy = true;
        reply.whenComplete((result, error) -> mailbox.execute(() -> {
            busy = false;
            try {
                whenDone.accept(error == null ? result : Either.left(StoreError.UNKNOWN));
            } catch (UncheckedIOException e) {
                Logger.error(e, "object of claim log {} cannot be decoded", ring.prefix());
                events.unavailable(e.getMessage());
            }
        }));
    }
}
