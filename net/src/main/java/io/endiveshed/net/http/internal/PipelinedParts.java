package io.endiveshed.net.http.internal;

import io.endiveshed.net.http.ClientMemoryLimits;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decoded parts of requests that wait for an earlier one of their connection, with what they cost, and the turns in
 * which they run. Confined to the event loop of the connection.
 */
final class PipelinedParts {
    /**
     * Bytes of pipelined requests, by their decoded cost, above which nothing more is read until they have run. Each
     * read decodes at most {@link ClientMemoryLimits#READ_BYTES}.
     */
    private static final long MAX_PIPELINED_BYTES = 32 * 1024;

    /**
     * Pipelined requests of one connection that may start before the event loop serves the others. Some hundred
     * connections with thousands of requests each took the loop for more than 20 s, in which the store was not read.
     */
    private static final int MAX_REQUESTS_PER_TURN = 8;

    /** Time from one turn of a connection to the next, in milliseconds. */
    private static final long TURN_MILLIS = 10;

    /** Cost of a message part in bytes, apart from its content and header fields. */
    private static final long PART_BYTES = 512;

    private final Deque<HttpObject> parts = new ArrayDeque<>();
    private long bytes;
    private int startedInTurn;
    private boolean awaitsTurn;

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Returns the cost of all parts in bytes. */
    long bytes() {
        return bytes;
    }

    void add(HttpObject part) {
        bytes += cost(part);
        parts.add(part);
    }

    /** Removes the first part, which the caller must release. */
    HttpObject poll() {
        HttpObject part = parts.poll();
        bytes -= cost(part);
        return part;
    }

    /** Releases all parts. */
    void clear() {
        parts.forEach(ReferenceCountUtil::release);
        parts.clear();
        bytes = 0;
    }

    /** Returns whether a new request may start; it waits for a client that reads nothing, and for the next turn. */
    boolean canStart(ChannelHandlerContext ctx) {
        return ctx.channel().isWritable() && startedInTurn < MAX_REQUESTS_PER_TURN;
    }

    /** Counts a request of the current turn. */
    void requestStarted() {
        startedInTurn++;
    }

    /** Begins a new turn if nothing waits, as for callers that send one request at a time. */
    void readCompleted() {
        if (parts.isEmpty()) {
            startedInTurn = 0;
        }
    }

    /** Reads no more while much waits, and runs the action at the next turn if something waits for that. */
    void schedule(ChannelHandlerContext ctx, Runnable action) {
        boolean reads = bytes <= MAX_PIPELINED_BYTES;
        if (ctx.channel().config().isAutoRead() != reads) {
            ctx.channel().config().setAutoRead(reads);
        }
        if (awaitsTurn || parts.isEmpty() || startedInTurn < MAX_REQUESTS_PER_TURN) {
            return;
        }
        awaitsTurn = true;
        ctx.executor()
                .schedule(
                        () -> {
                            awaitsTurn = false;
                            startedInTurn = 0;
                            action.run();
                        },
                        TURN_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Returns the cost of a decoded request line and header section in bytes. */
    static long decodedBytes(HttpRequest head) {
        long bytes = head.uri().length();
        Iterator<Map.Entry<CharSequence, CharSequence>> fields = head.headers().iteratorCharSequence();
        while (fields.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = fields.next();
            bytes += ClientMemoryLimits.FIELD_BYTES
                    + field.getKey().length()
                    + field.getValue().length();
        }
        return bytes;
    }

    private static long cost(HttpObject part) {
        long bytes = PART_BYTES;
        if (part instanceof HttpRequest head) {
            bytes += decodedBytes(head);
        }
        if (part instanceof HttpContent content) {
            bytes += content.content().readableBytes();
        }
        return bytes;
    }
}
