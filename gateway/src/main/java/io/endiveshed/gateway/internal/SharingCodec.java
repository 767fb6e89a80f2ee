package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.sharing.FeedChanges;
import io.endiveshed.coordination.sharing.FeedReport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the bodies of the datagrams by which entries share what they read from the store. */
final class SharingCodec {
    /** Maximum number of feeds in one answer, which keeps it within one packet of a network. */
    static final int MAX_FEEDS = 16;

    /** Stands for an age that is not known. */
    private static final long NO_AGE = -1;

    /** Maximum age in milliseconds that is reported, a day; it is far beyond each limit. */
    private static final long MAX_AGE_MILLIS = 86_400_000;

    /** Changes of an answer that has none. */
    static final ByteBuffer NO_CHANGES = ByteBuffer.wrap(new byte[0]);

    /**
     * Maximum size of packed changes in bytes, up to six packets of a network. A lost one costs each receiver a call to
     * the store, as changes that are not sent do.
     */
    static final int MAX_CHANGES_BYTES = 8 * 1024;

    /** Maximum number of changes that most receivers know; another reader may have sent them some of the new ones. */
    private static final int MAX_KNOWN_CHANGES = 16;

    /** Maximum size of changes in bytes before they are compressed; bounds the memory that a datagram can take. */
    private static final int MAX_UNPACKED_BYTES = 256 * 1024;

    private SharingCodec() {}

    static void writeQuestion(MessageBufferPacker packer, SharingMessage.Question question) throws IOException {
        packer.packLong(question.number());
    }

    static SharingMessage.Question readQuestion(MessageUnpacker unpacker) throws IOException {
        return new SharingMessage.Question(unpacker.unpackLong());
    }

    static void writeAnswer(MessageBufferPacker packer, SharingMessage.Answer answer) throws IOException {
        List<FeedReport> feeds =
                answer.feeds().subList(0, Math.min(MAX_FEEDS, answer.feeds().size()));
        packer.packLong(answer.number());
        packer.packArrayHeader(feeds.size());
        for (FeedReport feed : feeds) {
            packer.packString(feed.feed());
            packer.packLong(feed.era());
            packer.packLong(feed.version());
            packer.packLong(feed.digest());
            packer.packLong(age(feed.ageMillis()));
            packer.packLong(age(feed.outageMillis()));
        }
        packer.packBinaryHeader(answer.changes().remaining());
        packer.writePayload(answer.changes().array(), 0, answer.changes().remaining());
    }

    static SharingMessage.Answer readAnswer(MessageUnpacker unpacker) throws IOException {
        long number = unpacker.unpackLong();
        int count = unpacker.unpackArrayHeader();
        if (count > MAX_FEEDS) {
            throw new IllegalArgumentException("an answer names at most " + MAX_FEEDS + " feeds, not " + count);
        }
        List<FeedReport> feeds = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            feeds.add(new FeedReport(
                    unpacker.unpackString(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    readAge(unpacker),
                    readAge(unpacker)));
        }
        int length = unpacker.unpackBinaryHeader();
        if (length > MAX_CHANGES_BYTES) {
            throw new IllegalArgumentException("changes have at most " + MAX_CHANGES_BYTES + " bytes, not " + length);
        }
        ByteBuffer changes = ByteBuffer.wrap(unpacker.readPayload(length));
        return new SharingMessage.Answer(number, feeds, changes);
    }

    /**
     * Packs and compresses changes. If they are too large, the oldest ones are left out, which others know as a rule.
     *
     * @param newCount number of the last changes that others cannot know; if they do not fit, nothing is packed
     */
    static ByteBuffer packChanges(FeedChanges changes, int newCount) {
        FeedChanges rest = changes.withoutFirst(Math.max(0, changes.changes().size() - newCount - MAX_KNOWN_CHANGES));
        while (rest.changes().size() >= Math.max(1, newCount)) {
            byte[] packed = compress(pack(rest));
            if (packed.length <= MAX_CHANGES_BYTES) {
                return ByteBuffer.wrap(packed);
            }
            int excess = rest.changes().size() - newCount;
            if (excess <= 0) {
                break;
            }
            rest = rest.withoutFirst((excess + 1) / 2);
        }
        return NO_CHANGES;
    }

    private static byte[] pack(FeedChanges changes) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString(changes.feed());
            packer.packLong(changes.era());
            packer.packLong(changes.version());
            packer.packLong(changes.digestBefore());
            packer.packArrayHeader(changes.changes().size());
            for (FeedChanges.Change change : changes.changes()) {
                packer.packString(change.name());
                packer.packLong(change.version());
                packer.packLong(change.digestAfter());
                packer.packBoolean(change.source().isPresent());
                packer.packString(change.source().orElse(""));
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("packing changes into a memory buffer failed", e);
        }
    }

    /** Unpacks changes; empty if there are none or they are malformed. */
    static Optional<FeedChanges> unpackChanges(ByteBuffer packed) {
        if (!packed.hasRemaining()) {
            return Optional.empty();
        }
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(decompress(packed))) {
            String feed = unpacker.unpackString();
            long era = unpacker.unpackLong();
            long version = unpacker.unpackLong();
            long digestBefore = unpacker.unpackLong();
            int count = unpacker.unpackArrayHeader();
            List<FeedChanges.Change> changes = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String name = unpacker.unpackString();
                long objectVersion = unpacker.unpackLong();
                long digestAfter = unpacker.unpackLong();
                boolean isPresent = unpacker.unpackBoolean();
                String source = unpacker.unpackString();
                changes.add(new FeedChanges.Change(
                        name, objectVersion, digestAfter, isPresent ? Optional.of(source) : Optional.empty()));
            }
            return Optional.of(new FeedChanges(feed, era, version, digestBefore, changes));
        } catch (IOException | MessagePackException | DataFormatException e) {
            return Optional.empty();
        }
    }

    private static byte[] compress(byte[] bytes) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(bytes);
            deflater.finish();
            byte[] buffer = new byte[MAX_CHANGES_BYTES + 1];
            return Arrays.copyOf(buffer, deflater.deflate(buffer));
        } finally {
            deflater.end();
        }
    }

    private static byte[] decompress(ByteBuffer packed) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(packed.duplicate());
            byte[] buffer = new byte[MAX_UNPACKED_BYTES];
            int length = inflater.inflate(buffer);
            if (!inflater.finished()) {
                throw new DataFormatException("the changes are cut off or too large");
            }
            return Arrays.copyOf(buffer, length);
        } finally {
            inflater.end();
        }
    }

    private static long age(OptionalLong millis) {
        return millis.isPresent() && millis.getAsLong() <= MAX_AGE_MILLIS ? millis.getAsLong() : NO_AGE;
    }

    /** Reads an age; one that is negative or too large counts as not known. */
    private static OptionalLong readAge(MessageUnpacker unpacker) throws IOException {
        long millis = unpacker.unpackLong();
        return millis < 0 || millis > MAX_AGE_MILLIS ? OptionalLong.empty() : OptionalLong.of(millis);
    }
}
