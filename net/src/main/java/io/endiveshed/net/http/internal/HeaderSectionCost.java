package io.endiveshed.net.http.internal;

import io.endiveshed.net.http.ClientMemoryLimits;
import io.netty.buffer.ByteBuf;

/**
 * Estimates what the codec holds of a header section that is not complete. The codec decodes field by field and reports
 * nothing before the end, so lines are counted in what arrives; a field of four bytes takes some forty times as much.
 */
final class HeaderSectionCost {
    private long lines;
    private long linesOfLastRead;
    private long bytes;
    private long bytesOfLastRead;

    /** Counts the lines of a read that may have parts of header sections. */
    void arrived(ByteBuf read) {
        linesOfLastRead = 0;
        int end = read.writerIndex();
        for (int at = read.indexOf(read.readerIndex(), end, (byte) '\n');
                at >= 0;
                at = read.indexOf(at + 1, end, (byte) '\n')) {
            linesOfLastRead++;
        }
        lines += linesOfLastRead;
        bytesOfLastRead = read.readableBytes();
        bytes += bytesOfLastRead;
    }

    /** Records a read that has no part of a header section. */
    void arrivedBodyOnly() {
        linesOfLastRead = 0;
        bytesOfLastRead = 0;
    }

    /** Records that a header section or body ended within the last read; the rest of it may belong to the next one. */
    void messagePartEnded() {
        lines = linesOfLastRead;
        bytes = bytesOfLastRead;
    }

    /** Returns the maximum number of bytes that the codec holds of an incomplete header section. */
    long bytes() {
        return lines * ClientMemoryLimits.FIELD_BYTES + bytes;
    }
}
