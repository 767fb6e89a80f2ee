package io.endiveshed.net.http.internal;

import io.endiveshed.net.http.ClientMemory;
import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Writes the response to one request to its channel. The state is confined to the channel's event loop. */
final class ChannelResponseSink implements ResponseSink {
    private final ChannelHandlerContext ctx;
    private final BooleanSupplier keepAlive;
    private final boolean chunked;
    private final boolean closesOutputOnly;
    private final ClientMemory.Share memory;
    private final Consumer<Boolean> whenFinished;
    private long unreadBytes;
    private Runnable disconnectAction;
    private boolean isFinished;
    private boolean keepsOpen;

    ChannelResponseSink(
            ChannelHandlerContext ctx,
            BooleanSupplier keepAlive,
            boolean chunked,
            ClientMemory.Share memory,
            Consumer<Boolean> whenFinished) {
        this(ctx, keepAlive, chunked, false, memory, whenFinished);
    }

    /**
     * Creates a sink.
     *
     * @param keepAlive returns whether the connection stays open after the response; called when the response starts
     * @param chunked whether the caller understands chunked bodies
     * @param closesOutputOnly whether only the output is closed after the response; the owner then closes the channel
     * @param memory accounts for what the caller has not read
     * @param whenFinished called when the response has ended, with whether the connection stays open
     */
    ChannelResponseSink(
            ChannelHandlerContext ctx,
            BooleanSupplier keepAlive,
            boolean chunked,
            boolean closesOutputOnly,
            ClientMemory.Share memory,
            Consumer<Boolean> whenFinished) {
        this.memory = memory;
        this.closesOutputOnly = closesOutputOnly;
        this.ctx = ctx;
        this.keepAlive = keepAlive;
        this.chunked = chunked;
        this.whenFinished = whenFinished;
    }

    @Override
    public void respond(int status, List<Header> headers, byte[] body) {
        onEventLoop(() -> {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            addHeaders(response, headers);
            HttpUtil.setContentLength(response, body.length);
            keepsOpen = keepAlive.getAsBoolean();
            HttpUtil.setKeepAlive(response, keepsOpen);
            finish(writeTracked(response));
        });
    }

    @Override
    public void start(int status, List<Header> headers) {
        onEventLoop(() -> {
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            addHeaders(response, headers);
            if (chunked) {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            keepsOpen = chunked && keepAlive.getAsBoolean();
            HttpUtil.setKeepAlive(response, keepsOpen);
            ctx.write(response, ctx.voidPromise());
        });
    }

    @Override
    public void write(byte[] bytes, Runnable whenWritten) {
        onEventLoop(() -> writeTracked(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                .addListener(future -> whenWritten.run()));
    }

    @Override
    public void end() {
        onEventLoop(() -> finish(ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)));
    }

    @Override
    public void abort() {
        onEventLoop(() -> {
            isFinished = true;
            ctx.close();
            whenFinished.accept(false);
        });
    }

    @Override
    public void onDisconnect(Runnable action) {
        onEventLoop(() -> {
            disconnectAction = action;
            if (!ctx.channel().isActive()) {
                notifyDisconnected();
            }
        });
    }

    /** Runs the disconnect action, if the response has not ended. */
    void notifyDisconnected() {
        if (!isFinished && disconnectAction != null) {
            Runnable action = disconnectAction;
            disconnectAction = null;
            action.run();
        }
    }

    /**
     * Writes a message and accounts for what stays unwritten because the caller does not read; that is nothing for most
     * messages. A long message reports its progress, so that a caller that reads slowly counts as one.
     */
    private ChannelFuture writeTracked(Object message) {
        ChannelProgressivePromise promise = ctx.newProgressivePromise();
        ctx.writeAndFlush(message, promise);
        updateUnread();
        if (unreadBytes > 0) {
            promise.addListener(new UnreadListener());
        }
        return promise;
    }

    private void updateUnread() {
        ChannelOutboundBuffer outbound = ctx.channel().unsafe().outboundBuffer();
        long unread = outbound == null ? 0 : outbound.totalPendingWriteBytes();
        if (unread < unreadBytes) {
            memory.progressed(unreadBytes - unread);
        }
        if (unread != unreadBytes) {
            unreadBytes = unread;
            memory.resize(ClientMemory.Kind.RESPONSE, unread);
        }
    }

    /** Updates what is unread whenever a part of a message was written, and at its end. */
    private final class UnreadListener implements ChannelProgressiveFutureListener {
        @Override
        public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
            updateUnread();
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture future) {
            updateUnread();
        }
    }

    private void finish(ChannelFuture written) {
        isFinished = true;
        if (closesOutputOnly && ctx.channel() instanceof DuplexChannel duplex) {
            written.addListener(future -> duplex.shutdownOutput());
        } else if (!keepsOpen) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        whenFinished.accept(keepsOpen);
    }

    private static void addHeaders(HttpResponse response, List<Header> headers) {
        headers.forEach(header -> response.headers().add(header.name(), header.value()));
    }

    private void onEventLoop(Runnable task) {
        if (ctx.executor().inEventLoop()) {
            task.run();
        } else {
            ctx.executor().execute(task);
        }
    }
}
