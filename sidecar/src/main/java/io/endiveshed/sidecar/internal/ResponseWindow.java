package io.endiveshed.sidecar.internal;

import io.endiveshed.protocol.ProtocolLimits;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * Flow-control window of a response: keeps the bytes that the entry has not acknowledged, so that they can be sent again
 * after a link has broken. Not safe for use by several threads.
 *
 * <p>The credit bounds its size to {@link ProtocolLimits#INITIAL_RESPONSE_CREDIT_BYTES} plus the bytes that the target
 * sends before reading from it stops.
 */
final class ResponseWindow {
    private final Deque<byte[]> chunks = new ArrayDeque<>();
    private long startOffset;
    private long endOffset;
    private long acknowledgedOffset;

    /** Adds a chunk and returns its offset in the response, in bytes. */
    long add(byte[] chunk) {
        long offset = endOffset;
        chunks.add(chunk);
        endOffset += chunk.length;
        return offset;
    }

    /** Returns the offset after the last chunk. */
    long endOffset() {
        return endOffset;
    }

    /** Returns how many bytes may still be added; at 0 or less, reading from the target has to stop. */
    long creditBytes() {
        return acknowledgedOffset + ProtocolLimits.INITIAL_RESPONSE_CREDIT_BYTES - endOffset;
    }

    /** Records that the caller has received {@code bytes} more bytes, and discards them. */
    void acknowledge(long bytes) {
        acknowledgeUpTo(acknowledgedOffset + bytes);
    }

    /** Records that the caller has received all bytes before the offset, and discards them. */
    void acknowledgeUpTo(long offset) {
        acknowledgedOffset = Math.min(endOffset, Math.max(acknowledgedOffset, offset));
        while (!chunks.isEmpty() && startOffset + chunks.peek().length <= acknowledgedOffset) {
            startOffset += chunks.poll().length;
        }
    }

    /** Returns whether all bytes from the offset on are kept. */
    boolean covers(long offset) {
        return offset >= startOffset && offset <= endOffset;
    }

    /** Passes every byte from offset {@code from} on to the receiver; the offset must be covered. */
    void replay(long from, ChunkReceiver receiver) {
        long offset = startOffset;
        for (byte[] chunk : chunks) {
            long next = offset + chunk.length;
            if (next > from) {
                int skip = (int) Math.max(0, from - offset);
                receiver.chunk(offset + skip, skip == 0 ? chunk : Arrays.copyOfRange(chunk, skip, chunk.length));
            }
            offset = next;
        }
    }

    /** Receives the chunks of a replay. */
    @FunctionalInterface
    interface ChunkReceiver {
        void chunk(long offset, byte[] bytes);
    }
}
