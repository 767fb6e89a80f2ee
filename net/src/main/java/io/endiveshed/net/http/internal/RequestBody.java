package io.endiveshed.net.http.internal;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/** Body of a request that is being received, in segments that are allocated as bytes arrive. */
final class RequestBody {
    private static final int MIN_SEGMENT_BYTES = 1024;
    private static final int MAX_SEGMENT_BYTES = 64 * 1024;

    private final int maxBytes;
    private final List<byte[]> segments = new ArrayList<>();
    private int allocatedBytes;
    private int size;

    /** Creates an empty body of at most the given size; only what has arrived is allocated. */
    RequestBody(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    int size() {
        return size;
    }

    /** Returns the number of bytes that are allocated once the given number of bytes has been appended. */
    int allocatedBytesAfter(int length) {
        int allocated = allocatedBytes;
        while (allocated < size + length) {
            allocated += nextSegmentBytes(allocated);
        }
        return allocated;
    }

    /** Appends all readable bytes; the body may not exceed its maximum size. */
    void append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (size == allocatedBytes) {
                byte[] segment = new byte[nextSegmentBytes(allocatedBytes)];
                segments.add(segment);
                allocatedBytes += segment.length;
            }
            byte[] last = segments.get(segments.size() - 1);
            int free = allocatedBytes - size;
            int length = Math.min(free, bytes.readableBytes());
            bytes.readBytes(last, last.length - free, length);
            size += length;
        }
    }

    /** Returns the complete body and releases the segments. */
    byte[] toByteArray() {
        if (segments.size() == 1 && segments.get(0).length == size) {
            return segments.get(0);
        }
        byte[] all = new byte[size];
        int copied = 0;
        for (byte[] segment : segments) {
            int length = Math.min(segment.length, size - copied);
            System.arraycopy(segment, 0, all, copied, length);
            copied += length;
        }
        segments.clear();
        return all;
    }

    /** Doubles what is allocated, within the bounds of a segment and of the body. */
    private int nextSegmentBytes(int allocated) {
        int doubled = Math.min(MAX_SEGMENT_BYTES, Math.max(MIN_SEGMENT_BYTES, allocated));
        return Math.max(1, Math.min(doubled, maxBytes - allocated));
    }
}
