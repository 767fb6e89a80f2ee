package io.endiveshed.sidecar.internal;

import io.endiveshed.protocol.ProtocolLimits;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * Response bytes that the entry has not acknowledged, kept so that they can be sent again after a link broke.
 *
 * <p>The credit bounds them: at most {@link ProtocolLimits#INITIAL_RESPONSE_CREDIT_BYTES} and what the target sends until
 * it is held back.
 */
final class ResponseWindow {
    private final Deque<byte[]> chunks = new ArrayDeque<>();
    private long start;
    private long end;
    private long acknowledged;

    /** Adds a chunk and returns its offset. */
    long add(byte[] chunk) {
        long offset = end;
        chunks.add(chunk);
        end += chunk.length;
        return offset;
    }

    /** Returns the offset after the last chunk. */
    long end() {
        return end;
    }

    /** Returns how many bytes may still be added; 0 or less stops the target. */
    long credit() {
        return acknowledged + ProtocolLimits.INITIAL_RESPONSE_CREDIT_BYTES - end;
    }

    /** Notes that the caller has this many bytes more, and drops them. */
    void acknowledge(long bytes) {
        acknowledgeUpTo(acknowledged + bytes);
    }

    /** Notes that the caller has all bytes before the offset, and drops them. */
    void acknowledgeUpTo(long offset) {
        acknowledged = Math.min(end, Math.max(acknowledged, offset));
        while (!chunks.isEmpty() && start + chunks.peek().length <= acknowledged) {
            start += chunks.poll().length;
        }
    }

    /** Tells whether all bytes from the offset on are kept. */
    boolean covers(long offset) {
        return offset >= start && offset <= end;
    }

    /** Passes on every byte from the offset on, which must be covered. */
    void replay(long from, ChunkReceiver receiver) {
        long offset = start;
        for (byte[] chunk : chunks) {
            long next = offset + chunk.length;
            if (next > from) {
                int skip = (int) Math.max(0, from - offset);
                receiver.chunk(offset + skip, skip == 0 ? chunk : Arrays.copyOfRange(chunk, skip, chunk.length));
            }
            offset = next;
        }
    }

    /** Receives chunks that are sent again. */
    @FunctionalInterface
    interface ChunkReceiver {
        void chunk(long offset, byte[] bytes);
    }
}
