package io.endiveshed.net.http.internal;

import io.endiveshed.base.error.Failure;
import io.endiveshed.net.http.ClientMemory;
import io.endiveshed.net.http.ClientMemory.Kind;
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
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

/** Assembles the requests of one connection and runs them one at a time. */
public final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
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
    private final PipelinedParts pipelinedParts = new PipelinedParts();
    private final ConnectionTimer timer = new ConnectionTimer();
    private final HeaderSectionCost headerCost = new HeaderSectionCost();
    private ClientMemory.Share memory;
    private HttpRequest request;
    private RequestBody body;
    private long announcedBytes;
    private int bodyBytesAtLastCheck;
    private int bufferedBodyBytes;
    private boolean isRunningPipelined;
    private boolean hasHeaderPart;
    private ChannelResponseSink runningResponse;
    private boolean idle;
    private boolean rejected;
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
        Optional<ClientMemory.Share> share = serverContext.openShare(ctx, shortage -> drop(ctx, shortage));
        if (share.isEmpty()) {
            rejected = true;
            ctx.close();
            return;
        }
        memory = share.get();
        timer.start(ctx, limits.headerTimeout(), () -> rejectTimedOutHeader(ctx));
    }

    /**
     * Starts the timeout of the header section when the first bytes of a request arrive. The codec reports a header
     * section only when it is complete.
     */
    public void onBytesArrived(ByteBuf bytes) {
        if (request != null && announcedBytes - body.size() >= bytes.readableBytes()) {
            headerCost.arrivedBodyOnly();
        } else {
            headerCost.arrived(bytes);
        }
        if (memory != null) {
            memory.progressed(bytes.readableBytes());
        }
        hasHeaderPart |= request == null && runningResponse == null;
        if (idle) {
            ChannelHandlerContext ctx = context;
            idle = false;
            timer.start(ctx, limits.headerTimeout(), () -> rejectTimedOutHeader(ctx));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (rejected || closing) {
            ReferenceCountUtil.release(part);
        } else if (canAccept(ctx)) {
            accept(ctx, part);
        } else {
            queue(ctx, part);
        }
    }

    /** Accounts for a header section of which the codec holds the first part. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        pipelinedParts.readCompleted();
        watchBody(ctx);
        if (request == null && runningResponse == null && !rejected && !closing) {
            holdIncompleteHeader(ctx);
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        runPipelined(ctx);
        ctx.fireChannelWritabilityChanged();
    }

    /** Returns whether a part can be handled at once. */
    private boolean canAccept(ChannelHandlerContext ctx) {
        return runningResponse == null && pipelinedParts.isEmpty() && (request != null || pipelinedParts.canStart(ctx));
    }

    private void holdIncompleteHeader(ChannelHandlerContext ctx) {
        if (memory.bytes(Kind.HEADERS) != headerCost.bytes() && !memory.tryResize(Kind.HEADERS, headerCost.bytes())) {
            refuse(ctx, Kind.HEADERS);
        }
    }

    /** Queues a part of a pipelined request, and reads no more if the queue is long. */
    private void queue(ChannelHandlerContext ctx, HttpObject part) {
        pipelinedParts.add(part);
        if (!memory.tryResize(Kind.PIPELINED, pipelinedParts.bytes())) {
            serverContext.reportDropped(Kind.PIPELINED, memory.address());
            closing = true;
            ctx.close();
            return;
        }
        pipelinedParts.schedule(ctx, () -> runPipelined(ctx));
    }

    /** Runs the requests that wait, as long as the client reads the responses. */
    private void runPipelined(ChannelHandlerContext ctx) {
        if (isRunningPipelined || memory == null) {
            return;
        }
        isRunningPipelined = true;
        boolean hadParts = !pipelinedParts.isEmpty();
        while (runningResponse == null
                && !rejected
                && !closing
                && !pipelinedParts.isEmpty()
                && (request != null || pipelinedParts.canStart(ctx))) {
            accept(ctx, pipelinedParts.poll());
        }
        isRunningPipelined = false;
        if (hadParts) {
            memory.tryResize(Kind.PIPELINED, pipelinedParts.bytes());
            pipelinedParts.schedule(ctx, () -> runPipelined(ctx));
            watchBody(ctx);
        }
    }

    /** Starts the timeout of a body of which nothing may have arrived. */
    private void watchBody(ChannelHandlerContext ctx) {
        if (request != null && !timer.isRunning()) {
            timer.start(ctx, limits.bodyTimeout(), () -> checkBodyRate(ctx));
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
        timer.cancel();
        pipelinedParts.clear();
        if (runningResponse != null) {
            runningResponse.notifyDisconnected();
        }
        countBufferedBody(0);
        if (memory != null) {
            memory.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            serverContext.reportUnexpected(ctx.channel().remoteAddress(), cause);
        }
        ctx.close();
    }

    private void accept(ChannelHandlerContext ctx, HttpObject part) {
        try {
            if (part.decoderResult().isFailure()) {
                rejectAndClose(
                        ctx, RequestFailures.malformed(part.decoderResult().cause(), limits));
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
        hasHeaderPart = false;
        pipelinedParts.requestStarted();
        long announced = HttpUtil.getContentLength(head, 0L);
        if (announced > limits.maxBodyBytes()) {
            rejectAndClose(ctx, RequestFailures.bodyTooLarge(limits));
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        headerCost.messagePartEnded();
        request = head;
        if (!memory.tryResize(Kind.HEADERS, PipelinedParts.decodedBytes(head))) {
            refuse(ctx, Kind.HEADERS);
            return;
        }
        announcedBytes = announced;
        body = new RequestBody(announced > 0 ? (int) announced : limits.maxBodyBytes());
        bodyBytesAtLastCheck = 0;
        timer.cancel();
    }

    private void appendBody(ChannelHandlerContext ctx, HttpContent content) {
        ByteBuf bytes = content.content();
        int length = bytes.readableBytes();
        if (body.size() + length > limits.maxBodyBytes()) {
            rejectAndClose(ctx, RequestFailures.bodyTooLarge(limits));
            return;
        }
        int allocated = body.allocatedBytesAfter(length);
        if (memory.bytes(Kind.BODY) != allocated && !memory.tryResize(Kind.BODY, allocated)) {
            refuse(ctx, Kind.BODY);
            return;
        }
        body.append(bytes);
        countBufferedBody(body.size());
        if (content instanceof LastHttpContent) {
            run(ctx);
        }
    }

    private void checkBodyRate(ChannelHandlerContext ctx) {
        if (body.size() - bodyBytesAtLastCheck < limits.minBodyBytesPerTimeout()) {
            rejectAndClose(ctx, RequestFailures.timedOut("body", limits.bodyTimeout()));
            return;
        }
        bodyBytesAtLastCheck = body.size();
        timer.start(ctx, limits.bodyTimeout(), () -> checkBodyRate(ctx));
    }

    private void run(ChannelHandlerContext ctx) {
        timer.cancel();
        headerCost.messagePartEnded();
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
                memory,
                keptOpen -> onResponseFinished(ctx, keptOpen));
        memory.setRunning(true);
        serverContext.handler().handle(data, runningResponse);
    }

    private void onResponseFinished(ChannelHandlerContext ctx, boolean keptOpen) {
        runningResponse = null;
        countBufferedBody(0);
        memory.setRunning(false);
        memory.tryResize(Kind.BODY, 0);
        idleSinceNanos = System.nanoTime();
        // A pipelined request after a response that closes the connection is not run: its response could not be sent.
        closing = !keptOpen;
        if (!ctx.channel().isActive()) {
            return;
        }
        if (closing) {
            closeUnlessRead(ctx);
            return;
        }
        runPipelined(ctx);
        if (runningResponse == null && request == null && !rejected && !closing) {
            holdIncompleteHeader(ctx);
        }
        if (runningResponse == null && request == null && !rejected && !timer.isRunning()) {
            idle = true;
            closeUnlessRead(ctx);
        }
    }

    /** Closes an idle connection after the idle timeout, and later if its client still reads the response. */
    private void closeUnlessRead(ChannelHandlerContext ctx) {
        long unread = memory.bytes(Kind.RESPONSE);
        timer.start(ctx, IDLE_TIMEOUT, () -> {
            if (memory.bytes(Kind.RESPONSE) < unread) {
                closeUnlessRead(ctx);
            } else {
                ctx.close();
            }
        });
    }

    private void rejectTimedOutHeader(ChannelHandlerContext ctx) {
        rejectAndClose(ctx, RequestFailures.timedOut("header section", limits.headerTimeout()));
    }

    private void rejectAndClose(ChannelHandlerContext ctx, Failure failure) {
        discardRequest(failure);
        ctx.channel().config().setAutoRead(true);
        ErrorResponses.send(new ChannelResponseSink(ctx, () -> false, true, true, memory, keptOpen -> {}), failure);
        timer.start(ctx, LINGERING_CLOSE_TIME, ctx::close);
    }

    /** Refuses an incomplete request, for which there is no memory, because its client is the one to be dropped. */
    private void refuse(ChannelHandlerContext ctx, Kind shortage) {
        serverContext.reportDropped(shortage, memory.address());
        if (request != null || hasHeaderPart) {
            rejectAndClose(ctx, RequestFailures.memoryShort());
        } else {
            ctx.close();
        }
    }

    /**
     * Closes the connection, whose memory is needed for others; the answer to an incomplete request says that it has not
     * run.
     */
    private void drop(ChannelHandlerContext ctx, Kind shortage) {
        serverContext.reportDropped(shortage, memory.address());
        boolean isIncomplete = !rejected && !closing && (request != null || hasHeaderPart);
        if (isIncomplete && ctx.channel().isWritable()) {
            discardRequest(RequestFailures.memoryShort());
            ErrorResponses.send(
                    new ChannelResponseSink(ctx, () -> false, true, memory, keptOpen -> {}),
                    RequestFailures.memoryShort());
        }
        ctx.close();
    }

    private void discardRequest(Failure failure) {
        serverContext.countRejected(failure.kind());
        rejected = true;
        request = null;
        body = null;
        countBufferedBody(0);
        pipelinedParts.clear();
        memory.tryResize(Kind.PIPELINED, 0);
        memory.tryResize(Kind.BODY, 0);
        memory.tryResize(Kind.HEADERS, 0);
    }

    /** Sets the size of the received body in the metric of all connections. */
    private void countBufferedBody(int size) {
        serverContext.countBufferedBody(size - bufferedBodyBytes);
        bufferedBodyBytes = size;
    }
}
