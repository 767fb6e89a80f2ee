package io.endiveshed.gateway.internal;

import io.endiveshed.base.id.InstanceId;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Datagrams between entries, in MessagePack. */
final class PeerCodec {
    /** Format of the datagrams; others are ignored, so that entries of two versions can run side by side. */
    private static final int FORMAT = 2;

    private static final int HELLO = 0;
    private static final int STARTED = 1;
    private static final int ENDED = 2;

    /** Most engines of one notice: a request and its helpers. */
    private static final int MAX_TARGETS = 17;

    private PeerCodec() {}

    static byte[] hello(PeerId sender) {
        return pack(sender, HELLO, packer -> {});
    }

    static byte[] ended(PeerId sender, long number, double unreadMillis) {
        return pack(sender, ENDED, packer -> {
            packer.packLong(number);
            packer.packFloat((float) unreadMillis);
        });
    }

    static byte[] started(PeerId sender, WorkNotice notice) {
        return pack(sender, STARTED, packer -> {
            packer.packLong(notice.number());
            packer.packArrayHeader(notice.targets().size());
            for (InstanceId target : notice.targets()) {
                packer.packString(target.value());
            }
            packer.packFloat((float) notice.readMillis());
            packer.packFloat((float) notice.firstEventMillis());
            packer.packFloat((float) notice.endMillis());
            packer.packFloat((float) notice.firstEventLimitMillis());
            packer.packFloat((float) notice.abandonMillis());
            packer.packFloat((float) notice.maxPauseMillis());
            packer.packFloat((float) notice.weight());
            packer.packLong(notice.memoryTokens());
            packer.packInt(notice.holders());
            packer.packLong(notice.holderTokens());
        });
    }

    /** Reads a datagram; empty if it has another format. */
    static Optional<PeerMessage> read(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackInt() != FORMAT) {
                return Optional.empty();
            }
            int kind = unpacker.unpackInt();
            PeerId sender = new PeerId(new InstanceId(unpacker.unpackString()), unpacker.unpackLong());
            return switch (kind) {
                case HELLO -> Optional.of(new PeerMessage(sender, Optional.empty(), -1, 0));
                case STARTED -> Optional.of(new PeerMessage(sender, Optional.of(notice(unpacker)), -1, 0));
                case ENDED ->
                    Optional.of(
                            new PeerMessage(sender, Optional.empty(), unpacker.unpackLong(), unpacker.unpackFloat()));
                default -> Optional.empty();
            };
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static WorkNotice notice(MessageUnpacker unpacker) throws IOException {
        long number = unpacker.unpackLong();
        int count = unpacker.unpackArrayHeader();
        if (count < 1 || count > MAX_TARGETS) {
            throw new IllegalArgumentException("a notice names 1 to " + MAX_TARGETS + " engines, not " + count);
        }
        List<InstanceId> targets = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            targets.add(new InstanceId(unpacker.unpackString()));
        }
        return new WorkNotice(
                number,
                targets,
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

    private static byte[] pack(PeerId sender, int kind, Body body) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT);
            packer.packInt(kind);
            packer.packString(sender.instance().value());
            packer.packLong(sender.startedMillis());
            body.pack(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("a buffer in memory cannot fail", e);
        }
    }

    /** Packs the part of a datagram that depends on its kind. */
    private interface Body {
        void pack(MessageBufferPacker packer) throws IOException;
    }

    /**
     * One start of an entry.
     *
     * @param instance its instance
     * @param startedMillis Unix time of its start in milliseconds
     */
    record PeerId(InstanceId instance, long startedMillis) {}

    /**
     * A datagram.
     *
     * @param sender who sent it
     * @param started work that began
     * @param ended number of the work that ended; -1 if none
     * @param unreadMillis reading in milliseconds that the ended work no longer needs
     */
    record PeerMessage(PeerId sender, Optional<WorkNotice> started, long ended, double unreadMillis) {}
}
