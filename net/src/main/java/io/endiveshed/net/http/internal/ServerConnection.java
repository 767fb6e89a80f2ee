package io.endiveshed.net.http.internal;

import io.endiveshed.base.error.ErrorKind;
import io.endiveshed.base.error.Failure;
import io.endiveshed.net.http.ErrorResponses;
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
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Assembles the requests of one connection and runs them one at a time. */
public final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
    /**
     * Maximum number of message parts of pipelined requests queued while a request runs; above it, the connection
     * closes.
     */
    private static final int MAX_PIPELINED_PARTS = 64;

    private static final int MIN_INITIAL_BODY_BYTES = 1024;

    /**
     * Maximum size of the initial body buffer. Content-Length sets the size only up to this bound, because announcing a
     * long body costs the caller nothing.
     */
    private static final int MAX_INITIAL_BODY_BYTES = 64 * 1024;

    /**
     * Maximum time for which a connection stays open without a request. It also bounds a header section whose first
     * bytes arrived in one packet with the previous request, because the codec does not report that it has buffered
     * them.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(1);

    /**
     * Time for which input is discarded after a request was rejected. Closing a socket with unread input would reset
     * the connection, and the caller would not receive the error.
     */
    private static final Duration LINGERING_CLOSE_TIME = Duration.ofSeconds(2);

    private final ServerContext serverContext;
    private final HttpServerLimits limits;
    private final Deque<HttpObject> pipelinedParts = new ArrayDeque<>();
    private HttpRequest request;
    private ByteArrayOutputStream body;
    private int bodyBytesAtLastCheck;
    private long reservedBodyBytes;
    private ChannelResponseSink runningResponse;
    private boolean idle;
    private boolean rejected;
    private ScheduledFuture<?> timeout;
    private boolean closing;
    private long idleSinceNanos;
    private ChannelHandlerContext context;

    /** Creates the handler of one connection. */
    public ServerConnection(ServerContext serverContext) {
        super(false);
        this.serverContext = serverContext;
        this.limits = serverContext.limits();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        idleSinceNanos = System.nanoTime();
        serverContext.connections().add(ctx.channel());
        startTimeout(ctx, limits.headerTimeout(), () -> rejectTimedOut(ctx, "header section", limits.headerTimeout()));
    }

    /**
     * Starts the timeout of the header section when the first bytes of a request arrive. The codec reports a header
     * section only when it is complete.
     */
    public void onBytesArrived() {
        if (idle) {
            ChannelHandlerContext ctx = context;
            idle = false;
            startTimeout(
                    ctx, limits.headerTimeout(), () -> rejectTimedOut(ctx, "header section", limits.headerTimeout()));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (rejected || closing) {
            ReferenceCountUtil.release(part);
        } else if (runningResponse == null) {
            accept(ctx, part);
        } else if (pipelinedParts.size() < MAX_PIPELINED_PARTS) {
            pipelinedParts.add(part);
        } else {
            ReferenceCountUtil.release(part);
            serverContext.countRejected(ErrorKind.INVALID_REQUEST);
            ctx.close();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ServerConnections.CloseIfIdle close
                && runningResponse == null
                && request == null
                && System.nanoTime() - idleSinceNanos >= close.idle().toNanos()) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelTimeout();
        pipelinedParts.forEach(ReferenceCountUtil::release);
        pipelinedParts.clear();
        if (runningResponse != null) {
            runningResponse.notifyDisconnected();
        }
        releaseBody();
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
        idle = false;
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
        body = new ByteArrayOutputStream(
                (int) Math.min(MAX_INITIAL_BODY_BYTES, Math.max(MIN_INITIAL_BODY_BYTES, announced)));
        bodyBytesAtLastCheck = 0;
        cancelTimeout();
    }

    private void appendBody(ChannelHandlerContext ctx, HttpContent content) {
        ByteBuf bytes = content.content();
        int length = bytes.readableBytes();
        if (body.size() + length > limits.maxBodyBytes()) {
            rejectAndClose(ctx, bodyTooLarge());
            return;
        }
        if (!serverContext.tryReserveBodyBytes(length)) {
            rejectAndClose(ctx, bufferedBodiesTooLarge());
            return;
        }
        reservedBodyBytes += length;
        byte[] copy = new byte[length];
        bytes.readBytes(copy);
        body.write(copy, 0, length);
        if (content instanceof LastHttpContent) {
            run(ctx);
        } else if (timeout == null) {
            startTimeout(ctx, limits.bodyTimeout(), () -> checkBodyRate(ctx));
        }
    }

    private void checkBodyRate(ChannelHandlerContext ctx) {
        if (body.size() - bodyBytesAtLastCheck < limits.minBodyBytesPerTimeout()) {
            rejectTimedOut(ctx, "body", limits.bodyTimeout());
            return;
        }
        bodyBytesAtLastCheck = body.size();
        startTimeout(ctx, limits.bodyTimeout(), () -> checkBodyRate(ctx));
    }

    private void run(ChannelHandlerContext ctx) {
        cancelTimeout();
        HttpRequestData data =
                new HttpRequestData(request.method().name(), request.uri(), request.headers(), body.toByteArray());
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        boolean chunked = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        request = null;
        body = null;
        runningResponse = new ChannelResponseSink(
                ctx,
                () -> keepAlive && !serverContext.connections().isDraining(),
                chunked,
                keptOpen -> onResponseFinished(ctx, keptOpen));
        serverContext.handler().handle(data, runningResponse);
    }

    private void onResponseFinished(ChannelHandlerContext ctx, boolean keptOpen) {
        runningResponse = null;
        releaseBody();
        idleSinceNanos = System.nanoTime();
        // A pipelined request after a response that closes the connection is not run: its response could not be sent.
        closing = !keptOpen;
        if (closing || !ctx.channel().isActive()) {
            return;
        }
        while (runningResponse == null && !rejected && !pipelinedParts.isEmpty()) {
            accept(ctx, pipelinedParts.poll());
        }
        if (runningResponse == null && request == null && !rejected && timeout == null) {
            idle = true;
            startTimeout(ctx, IDLE_TIMEOUT, ctx::close);
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

    private void rejectTimedOut(ChannelHandlerContext ctx, String part, Duration after) {
        rejectAndClose(
                ctx,
                Failure.of(ErrorKind.REQUEST_TIMEOUT)
                        .message("the " + part + " was incomplete or too slow after " + after.toMillis() + " ms")
                        .build());
    }

    private void rejectAndClose(ChannelHandlerContext ctx, Failure failure) {
        serverContext.countRejected(failure.kind());
        rejected = true;
        request = null;
        body = null;
        releaseBody();
        ErrorResponses.send(new ChannelResponseSink(ctx, () -> false, true, true, keptOpen -> {}), failure);
        startTimeout(ctx, LINGERING_CLOSE_TIME, ctx::close);
    }

    private void releaseBody() {
        serverContext.releaseBodyBytes(reservedBodyBytes);
        reservedBodyBytes = 0;
    }

    private Failure bodyTooLarge() {
        return Failure.of(ErrorKind.BODY_TOO_LARGE)
                .message("body exceeds " + limits.maxBodyBytes() + " bytes")
                .build();
    }

    private Failure bufferedBodiesTooLarge() {
        return Failure.of(ErrorKind.OVERLOADED)
                .message("the request bodies of all connections would exceed " + limits.maxBufferedBodyBytes()
                        + " bytes")
                .retryAfter(Duration.ofSeconds(1))
                .build();
    }

    private void startTimeout(ChannelHandlerContext ctx, Duration after, Runnable action) {
        cancelTimeout();
        timeout = ctx.executor()
                .schedule(
                        () -> {
                            timeout = null;
                            action.run();
                        },
                        after.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }
}
