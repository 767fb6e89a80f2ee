package io.endiveshed.net.http.internal;

import io.endiveshed.net.http.ResponseSink;
import io.endiveshed.protocol.Header;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
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

/** Writes the response to one request on its channel. State is confined to the channel's event loop. */
final class ChannelResponseSink implements ResponseSink {
    private final ChannelHandlerContext ctx;
    private final BooleanSupplier keepAlive;
    private final boolean chunked;
    private final boolean lingers;
    private final Consumer<Boolean> whenFinished;
    private Runnable disconnectAction;
    private boolean finished;
    private boolean keepOpen;

    ChannelResponseSink(
            ChannelHandlerContext ctx, BooleanSupplier keepAlive, boolean chunked, Consumer<Boolean> whenFinished) {
        this(ctx, keepAlive, chunked, false, whenFinished);
    }

    /** Makes a sink; with {@code lingers}, only the output is closed at the end, and the owner closes the rest. */
    ChannelResponseSink(
            ChannelHandlerContext ctx,
            BooleanSupplier keepAlive,
            boolean chunked,
            boolean lingers,
            Consumer<Boolean> whenFinished) {
        this.lingers = lingers;
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
            keepOpen = keepAlive.getAsBoolean();
            HttpUtil.setKeepAlive(response, keepOpen);
            finish(ctx.writeAndFlush(response));
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
            keepOpen = chunked && keepAlive.getAsBoolean();
            HttpUtil.setKeepAlive(response, keepOpen);
            ctx.write(response, ctx.voidPromise());
        });
    }

    @Override
    public void write(byte[] bytes, Runnable whenWritten) {
        onEventLoop(() -> ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                .addListener(future -> whenWritten.run()));
    }

    @Override
    public void end() {
        onEventLoop(() -> finish(ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)));
    }

    @Override
    public void abort() {
        onEventLoop(() -> {
            finished = true;
            ctx.close();
            whenFinished.accept(false);
        });
    }

    @Override
    public void onDisconnect(Runnable action) {
        onEventLoop(() -> {
            disconnectAction = action;
            if (!ctx.channel().isActive()) {
                disconnected();
            }
        });
    }

    /** Tells that the caller closed the connection. */
    void disconnected() {
        if (!finished && disconnectAction != null) {
            Runnable action = disconnectAction;
            disconnectAction = null;
            action.run();
        }
    }

    private void finish(ChannelFuture written) {
        finished = true;
        if (lingers && ctx.channel() instanceof DuplexChannel duplex) {
            written.addListener(future -> duplex.shutdownOutput());
        } else if (!keepOpen) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        whenFinished.accept(keepOpen);
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
