package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the datagrams that entries exchange, in MessagePack. */
final class PeerCodec {
    /** Format number of the datagrams; other formats are ignored, so that entries of two versions can run together. */
    private static final int FORMAT = 2;

    private static final int HEARTBEAT = 0;
    private static final int STARTED = 1;
    private static final int ENDED = 2;

    /** Maximum number of engines in one notice: the primary engine and its helpers. */
    private static final int MAX_ENGINES = 17;

    private PeerCodec() {}

    /** Encodes a heartbeat with the age of the sender's desired state in milliseconds. */
    static byte[] heartbeat(PeerIncarnation sender, long stateAgeMillis) {
        return pack(sender, HEARTBEAT, packer -> packer.packLong(stateAgeMillis));
    }

    /** Encodes the end of a prompt, with the prefill in milliseconds that each of its engines is spared. */
    static byte[] ended(PeerIncarnation sender, long number, double remainingPrefillMillis) {
        return pack(sender, ENDED, packer -> {
            packer.packLong(number);
            packer.packFloat((float) remainingPrefillMillis);
        });
    }

    /** Encodes the start of a prompt. */
    static byte[] started(PeerIncarnation sender, PlacementNotice notice) {
        return pack(sender, STARTED, packer -> {
            packer.packLong(notice.number());
            packer.packArrayHeader(notice.engineIds().size());
            for (InstanceId engineId : notice.engineIds()) {
                packer.packString(engineId.value());
            }
            packer.packFloat((float) notice.prefillMillis());
            packer.packFloat((float) notice.firstEventMillis());
            packer.packFloat((float) notice.endMillis());
            packer.packFloat((float) notice.firstEventBudgetMillis());
            packer.packFloat((float) notice.callerTimeoutMillis());
            packer.packFloat((float) notice.maxPauseMillis());
            packer.packFloat((float) notice.weight());
            packer.packLong(notice.kvTokens());
            packer.packInt(notice.holderCount());
            packer.packLong(notice.holderKvTokens());
        });
    }

    /** Decodes a datagram; empty if it is malformed or has another format. */
    static Optional<PeerDatagram> read(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackInt() != FORMAT) {
                return Optional.empty();
            }
            int kind = unpacker.unpackInt();
            PeerIncarnation sender =
                    new PeerIncarnation(new InstanceId(unpacker.unpackString()), unpacker.unpackLong());
            return switch (kind) {
                case HEARTBEAT ->
                    Optional.of(new PeerDatagram(sender, Optional.empty(), -1, 0, readStateAge(unpacker)));
                case STARTED ->
                    Optional.of(
                            new PeerDatagram(sender, Optional.of(readNotice(unpacker)), -1, 0, OptionalLong.empty()));
                case ENDED ->
                    Optional.of(new PeerDatagram(
                            sender,
                            Optional.empty(),
                            unpacker.unpackLong(),
                            unpacker.unpackFloat(),
                            OptionalLong.empty()));
                default -> Optional.empty();
            };
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Reads the age of the sender's desired state, which heartbeats of earlier builds do not have. */
    private static OptionalLong readStateAge(MessageUnpacker unpacker) throws IOException {
        return unpacker.hasNext() ? OptionalLong.of(unpacker.unpackLong()) : OptionalLong.empty();
    }

    private static PlacementNotice readNotice(MessageUnpacker unpacker) throws IOException {
        long number = unpacker.unpackLong();
        int count = unpacker.unpackArrayHeader();
        if (count < 1 || count > MAX_ENGINES) {
            throw new IllegalArgumentException("a notice names 1 to " + MAX_ENGINES + " engines, not " + count);
        }
        List<InstanceId> engineIds = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            engineIds.add(new InstanceId(unpacker.unpackString()));
        }
        return new PlacementNotice(
                number,
                engineIds,
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackFloat(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.unpackLong());
    }

    private static byte[] pack(PeerIncarnation sender, int kind, BodyWriter body) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT);
            packer.packInt(kind);
            packer.packString(sender.instance().value());
            packer.packLong(sender.startedMillis());
            body.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("packing a datagram into a memory buffer failed", e);
        }
    }

    /** Writes the part of a datagram that depends on its kind. */
    private interface BodyWriter {
        void write(MessageBufferPacker packer) throws IOException;
    }

    /**
     * One process lifetime of an entry; a restart of the entry is a new incarnation.
     *
     * @param instance instance of the entry
     * @param startedMillis Unix time of its start in milliseconds
     */
    record PeerIncarnation(InstanceId instance, long startedMillis) {}

    /**
     * Decoded datagram. A heartbeat carries neither a start nor an end.
     *
     * @param sender entry that sent it
     * @param started prompt that started
     * @param endedNumber number of the prompt that ended; -1 if none
     * @param remainingPrefillMillis prefill in milliseconds that each engine of the ended prompt is spared
     * @param stateAgeMillis age of the sender's desired state in milliseconds, if the datagram tells it
     */
    record PeerDatagram(
            PeerIncarnation sender,
            Optional<PlacementNotice> started,
            long endedNumber,
            double remainingPrefillMillis,
            OptionalLong stateAgeMillis) {}
}
