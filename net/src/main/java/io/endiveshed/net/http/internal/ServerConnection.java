package io.endiveshed.net.http.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.net.http.ErrorResponses;
import io.endiveshed.net.http.HttpHandler;
import io.endiveshed.net.http.HttpRequestData;
import io.endiveshed.net.http.HttpServerLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Assembles requests of one connection and runs them one after the other. */
public final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Parts of pipelined requests that are kept while one request runs; more closes the connection. */
    private static final int MAX_PIPELINED_PARTS = 64;

    private static final int INITIAL_BODY_BYTES = 1024;

    private final HttpServerLimits limits;
    private final HttpHandler handler;
    private final ServerConnections connections;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();
    private HttpRequest request;
    private ByteArrayOutputStream body;
    private ChannelResponseSink running;
    private ScheduledFuture<?> timeout;
    private boolean closing;

    /** Makes the handler of one connection. */
    public ServerConnection(HttpServerLimits limits, HttpHandler handler, ServerConnections connections) {
        super(false);
        this.limits = limits;
        this.handler = handler;
        this.connections = connections;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        connections.add(ctx.channel());
        startTimeout(ctx, limits.headerTimeout().toMillis(), "header section");
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (closing) {
            ReferenceCountUtil.release(part);
        } else if (running == null) {
            accept(ctx, part);
        } else if (pipelined.size() < MAX_PIPELINED_PARTS) {
            pipelined.add(part);
        } else {
            ReferenceCountUtil.release(part);
            ctx.close();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == ServerConnections.CLOSE_IF_IDLE && running == null && request == null) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelTimeout();
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        if (running != null) {
            running.disconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Logger.error(
                    cause,
                    "connection from {} closed by an unexpected error",
                    ctx.channel().remoteAddress());
        }
        ctx.close();
    }

    private void accept(ChannelHandlerContext ctx, HttpObject part) {
        try {
            if (part.decoderResult().isFailure()) {
                rejectMalformed(ctx, part.decoderResult().cause());
                return;
            }
            if (part instanceof HttpRequest head) {
                startRequest(ctx, head);
            }
            if (part instanceof HttpContent content && request != null) {
                appendBody(ctx, content);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void startRequest(ChannelHandlerContext ctx, HttpRequest head) {
        long announced = HttpUtil.getContentLength(head, 0L);
        if (announced > limits.maxBodyBytes()) {
            rejectAndClose(ctx, bodyTooLarge());
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        request = head;
        body = new ByteArrayOutputStream(Math.max(INITIAL_BODY_BYTES, (int) announced));
        startTimeout(ctx, limits.bodyTimeout().toMillis(), "body");
    }

    private void appendBody(ChannelHandlerContext ctx, HttpContent content) {
        ByteBuf bytes = content.content();
        if (body.size() + bytes.readableBytes() > limits.maxBodyBytes()) {
            rejectAndClose(ctx, bodyTooLarge());
            return;
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.write(copy, 0, copy.length);
        if (content instanceof LastHttpContent) {
            run(ctx);
        }
    }

    private void run(ChannelHandlerContext ctx) {
        cancelTimeout();
        HttpRequestData data =
                new HttpRequestData(request.method().name(), request.uri(), request.headers(), body.toByteArray());
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        boolean chunked = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        request = null;
        body = null;
        running = new ChannelResponseSink(
                ctx, () -> keepAlive && !connections.isDraining(), chunked, keptOpen -> finished(ctx, keptOpen));
        handler.handle(data, running);
    }

    private void finished(ChannelHandlerContext ctx, boolean keptOpen) {
        running = null;
        // A pipelined request after a response that closes the connection is not run: its answer could not be sent.
        closing = !keptOpen;
        if (closing || !ctx.channel().isActive()) {
            return;
        }
        while (running == null && !pipelined.isEmpty()) {
            accept(ctx, pipelined.poll());
        }
    }

    private void rejectMalformed(ChannelHandlerContext ctx, Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        ErrorKind kind = tooLong ? ErrorKind.HEADERS_TOO_LARGE : ErrorKind.INVALID_REQUEST;
        String message = tooLong
                ? "request line or header section exceeds " + limits.maxHeaderBytes() + " bytes"
                : "malformed HTTP: " + cause.getMessage();
        rejectAndClose(ctx, Failure.of(kind).message(message).build());
    }

    private void rejectAndClose(ChannelHandlerContext ctx, Failure failure) {
        cancelTimeout();
        request = null;
        body = null;
        running = new ChannelResponseSink(ctx, () -> false, true, keptOpen -> {});
        ErrorResponses.send(running, failure);
    }

    private Failure bodyTooLarge() {
        return Failure.of(ErrorKind.BODY_TOO_LARGE)
                .message("body exceeds " + limits.maxBodyBytes() + " bytes")
                .build();
    }

    private void startTimeout(ChannelHandlerContext ctx, long millis, String what) {
        cancelTimeout();
        Failure failure = Failure.of(ErrorKind.REQUEST_TIMEOUT)
                .message("the " + what + " was not complete after " + millis + " ms")
                .build();
        timeout = ctx.executor().schedule(() -> rejectAndClose(ctx, failure), millis, TimeUnit.MILLISECONDS);
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }
}
