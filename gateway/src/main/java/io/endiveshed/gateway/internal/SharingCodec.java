package io.endiveshed.gateway.internal;

import io.endiveshed.coordination.sharing.FeedReport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the bodies of the datagrams by which entries share what they read from the store. */
final class SharingCodec {
    /** Maximum number of feeds in one answer, which keeps it within one packet of a network. */
    static final int MAX_FEEDS = 16;

    /** Stands for an age that is not known. */
    private static final long NO_AGE = -1;

    /** Maximum age in milliseconds that is told, a day; it is far beyond each limit. */
    private static final long MAX_AGE_MILLIS = 86_400_000;

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
        return new SharingMessage.Answer(number, feeds);
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
