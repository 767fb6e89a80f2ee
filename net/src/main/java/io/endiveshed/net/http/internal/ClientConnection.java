package io.endiveshed.net.http.internal;

import io.endiveshed.net.http.DiscardedResponse;
import io.endiveshed.net.http.EmbeddedResponseCheck;
import io.endiveshed.net.http.HttpClientOptions;
import io.endiveshed.net.http.HttpResponseListener;
import io.endiveshed.net.http.ResponseOwner;
import io.endiveshed.protocol.Header;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

/** Client connection; passes a response to the listener of the request that uses the connection. */
public final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final String KEEP_ALIVE_FIELD = "Keep-Alive";

    /**
     * Maximum number of bytes that may arrive without being part of the response to the current request: interim
     * responses, responses to earlier requests, and bytes that the codec skips. It has room for a few late responses.
     */
    private static final int MAX_SKIPPED_BYTES = 256 * 1024;

    /**
     * Time in milliseconds for which the end of a body that may have been completed with another response is held back,
     * unless the rest of that response arrives earlier.
     */
    private static final long REST_WAIT_MILLIS = 50;

    private final IdleLimit idleLimit;
    private final ResponseDecoder decoder;
    private final Consumer<DiscardedResponse> whenDiscarded;
    private ChannelHandlerContext context;
    private HttpResponseListener listener;
    private String requestLabel = "";
    private Function<List<Header>, ResponseOwner> responseOwner;
    private EmbeddedResponseCheck embeddedResponseCheck;
    private ResponseBodyGuard body;
    private ScheduledFuture<?> restTimeout;
    private Consumer<Boolean> whenFinished;
    private boolean keepAlive;
    private boolean isSkippingResponse;
    private boolean staleResponseSeen;
    private boolean inputEnded;
    private boolean requestWritten;
    private boolean endAwaitsWrite;
    private boolean hasUnexpectedBytes;
    private int skippedBytes;
    private int requests;
    private ScheduledFuture<?> idleTimeout;

    /**
     * Creates the handler of one connection.
     *
     * @param options options of the connection
     * @param decoder decoder of the connection, which precedes the handler in the pipeline
     * @param whenDiscarded called with each response that is not passed to a listener, except interim ones
     */
    public ClientConnection(
            HttpClientOptions options, ResponseDecoder decoder, Consumer<DiscardedResponse> whenDiscarded) {
        this.idleLimit = new IdleLimit(options);
        this.decoder = decoder;
        this.whenDiscarded = whenDiscarded;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Runs a task on the connection's event loop: within this call if the caller is on it, otherwise later. */
    public void execute(Runnable task) {
        if (context.executor().inEventLoop()) {
            task.run();
        } else {
            context.executor().execute(task);
        }
    }

    /**
     * Returns whether a request may use the connection: it is open, no other request uses it, and it has been idle for
     * less than the maximum time, which ends before the server's idle timeout.
     */
    public boolean isUsable() {
        return context.channel().isActive() && listener == null && !idleLimit.isReached();
    }

    /**
     * Assigns the connection to a request; must run on the event loop.
     *
     * @param newListener receives the response
     * @param label name of the request in reports on discarded responses
     * @param owner tells from the header fields of a response to which request it belongs
     * @param check recognizes another response within the body of a response
     * @param finished called when the exchange has ended or failed, with whether the connection can be reused
     */
    public void begin(
            HttpResponseListener newListener,
            String label,
            Function<List<Header>, ResponseOwner> owner,
            EmbeddedResponseCheck check,
            Consumer<Boolean> finished) {
        if (idleTimeout != null) {
            idleTimeout.cancel(false);
            idleTimeout = null;
        }
        listener = newListener;
        requestLabel = label;
        responseOwner = owner;
        embeddedResponseCheck = check;
        requests++;
        whenFinished = finished;
        isSkippingResponse = false;
        staleResponseSeen = false;
        requestWritten = false;
        endAwaitsWrite = false;
        keepAlive = false;
        skippedBytes = 0;
    }

    /**
     * Counts bytes that have arrived before the codec decodes them; {@link #channelRead0} takes back those of the
     * response to the current request.
     */
    public void onBytesArrived(ByteBuf bytes) {
        hasUnexpectedBytes |= listener == null;
        skippedBytes += bytes.readableBytes();
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            failAndClose("more than " + MAX_SKIPPED_BYTES + " bytes arrived that are not part of the response");
        } else if (restTimeout != null) {
            keepAlive = false;
            endOrAwaitRest(body.follow(ByteBufUtil.getBytes(bytes)));
        }
    }

    /** Records that the server has closed its side in order, before the codec decodes what that ends. */
    public void onInputEnded() {
        inputEnded = true;
    }

    /** Returns the number of requests that have used the connection, with the current one. */
    public int requests() {
        return requests;
    }

    /** Writes the request. */
    public void write(FullHttpRequest request) {
        decoder.setRequestMethod(request.method());
        int number = requests;
        context.writeAndFlush(request).addListener(written -> {
            if (number == requests && written.isSuccess()) {
                onRequestWritten();
            }
        });
    }

    /** Starts or stops reading from the socket. */
    public void setAutoRead(boolean enabled) {
        context.channel().config().setAutoRead(enabled);
    }

    /** Closes the connection. */
    public void close() {
        context.close();
    }

    /** Closes the connection when it has been idle for the maximum time; calls the action before it closes. */
    public void closeAfterIdle(Consumer<ClientConnection> beforeClose) {
        long maxIdleMillis = idleLimit.start();
        execute(() -> idleTimeout = context.executor()
                .schedule(
                        () -> {
                            if (listener == null) {
                                beforeClose.accept(this);
                                context.close();
                            }
                        },
                        maxIdleMillis,
                        TimeUnit.MILLISECONDS));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (part.decoderResult().isFailure()) {
            hasUnexpectedBytes = false;
            discard(DiscardedResponse.Reason.MALFORMED, part);
            ctx.close();
            return;
        }
        if (listener == null) {
            hasUnexpectedBytes = false;
            discard(DiscardedResponse.Reason.NO_REQUEST_IN_PROGRESS, part);
            ctx.close();
            return;
        }
        if (part instanceof HttpResponse response && !accept(response)) {
            return;
        }
        if (isSkippingResponse) {
            skipPart(part);
            return;
        }
        skippedBytes = 0;
        if (part instanceof HttpContent content && content.content().isReadable()) {
            receive(ByteBufUtil.getBytes(content.content()));
        }
        if (part instanceof LastHttpContent && listener != null) {
            ResponseBodyGuard.Ending ending = body.ending();
            boolean isFollowed = ending == ResponseBodyGuard.Ending.UNCERTAIN && decoder.hasUndecodedBytes();
            endOrAwaitRest(isFollowed ? body.follow(decoder.undecodedBytes()) : ending);
        }
    }

    /** Passes on what is known to be the response's own; fails as soon as another response begins within the body. */
    private void receive(byte[] bytes) {
        byte[] own = body.append(bytes);
        if (own.length > 0) {
            listener.received(own);
        }
        if (body.isInterrupted() && listener != null) {
            failInterrupted();
        }
    }

    private void failInterrupted() {
        report(DiscardedResponse.Reason.WITHIN_A_BODY, body.embeddedStatus(), body.embeddedHeaders());
        failAndClose("the response broke off in its body and another one followed");
    }

    /** Ends the exchange as far as the ending of the body is known; waits for bytes that may follow if it is not. */
    private void endOrAwaitRest(ResponseBodyGuard.Ending ending) {
        if (ending == ResponseBodyGuard.Ending.INTERRUPTED) {
            failInterrupted();
        } else if (ending == ResponseBodyGuard.Ending.WHOLE
                || !context.channel().isActive()) {
            finishUnlessCutOff();
        } else if (restTimeout == null) {
            restTimeout =
                    context.executor().schedule(this::finishUnlessCutOff, REST_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Ends the exchange at the last part of a response unless it was cut off. The codec also reports a last part of a
     * response without a length when the connection is closed by a failed write or by this process. The end of input
     * completes such a response only once the server has taken the whole request: a server that closes a connection with
     * unread bytes resets it, and the end of its output may arrive before the reset.
     */
    private void finishUnlessCutOff() {
        cancelRestTimeout();
        if (inputEnded && !requestWritten) {
            endAwaitsWrite = true;
        } else if (inputEnded || context.channel().isActive()) {
            finish();
        } else {
            fail("connection closed before the end of a response without a length");
        }
    }

    private void onRequestWritten() {
        requestWritten = true;
        if (endAwaitsWrite && listener != null) {
            finish();
        }
    }

    /**
     * Closes an idle connection on which a part of a response has arrived. The decoder would read that part and the
     * response to the next request as one, also if the part consists of whole lines, which leave no undecoded bytes.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (listener == null && hasUnexpectedBytes) {
            hasUnexpectedBytes = false;
            report(DiscardedResponse.Reason.INCOMPLETE, 0, List.of());
            ctx.close();
        }
        ctx.fireChannelReadComplete();
    }

    /** Passes the head of a response to the listener; returns false if the response is to be skipped. */
    private boolean accept(HttpResponse response) {
        List<Header> headers = ResponseHeads.fields(response.headers());
        ResponseOwner owner = responseOwner.apply(headers);
        HeadDecision decision = HeadDecision.of(response, headers, owner, requests);
        decision.reason().ifPresent(reason -> discard(reason, response));
        if (decision.action() == HeadDecision.Action.FAIL) {
            failAndClose(decision.message());
            return false;
        }
        body = new ResponseBodyGuard(
                response.status().code(), headers, ResponseHeads.bodyLength(response), embeddedResponseCheck);
        isSkippingResponse = decision.action() != HeadDecision.Action.PASS_ON;
        staleResponseSeen |= decision.action() == HeadDecision.Action.SKIP;
        if (isSkippingResponse) {
            return false;
        }
        boolean framed = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
        keepAlive = HttpUtil.isKeepAlive(response) && framed && owner == ResponseOwner.CURRENT_REQUEST;
        idleLimit.adopt(response.headers().get(KEEP_ALIVE_FIELD));
        listener.started(response.status().code(), headers);
        return true;
    }

    /** Ignores a part of a skipped response; fails if the response to the current request has begun in its body. */
    private void skipPart(HttpObject part) {
        isSkippingResponse = !(part instanceof LastHttpContent);
        if (part instanceof HttpContent content) {
            body.append(ByteBufUtil.getBytes(content.content()));
            if (body.isInterrupted()) {
                failInterrupted();
            }
        }
    }

    /** Reports the head of a response that is not passed to a listener; the parts of its body are not reported. */
    private void discard(DiscardedResponse.Reason reason, HttpObject part) {
        if (part instanceof HttpResponse response) {
            report(reason, response.status().code(), ResponseHeads.fields(response.headers()));
        }
    }

    private void report(DiscardedResponse.Reason reason, int status, List<Header> headers) {
        whenDiscarded.accept(new DiscardedResponse(reason, status, headers, requestLabel, requests));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (restTimeout != null) {
                finishUnlessCutOff();
            }
            if (!endAwaitsWrite) {
                ctx.close();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("connection closed before the response was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // The codec treats the close of a connection as the end of a response without a length; a reset is a failure.
        fail("connection broke: " + cause.getMessage());
        ctx.close();
    }

    private void fail(String message) {
        if (listener == null) {
            return;
        }
        HttpResponseListener current = detachListener();
        whenFinished.accept(false);
        current.failed(true, message);
    }

    private void failAndClose(String message) {
        fail(message);
        context.close();
    }

    private void cancelRestTimeout() {
        if (restTimeout != null) {
            restTimeout.cancel(false);
            restTimeout = null;
        }
    }

    private HttpResponseListener detachListener() {
        cancelRestTimeout();
        HttpResponseListener current = listener;
        listener = null;
        return current;
    }

    private void finish() {
        byte[] rest = body.rest();
        if (rest.length > 0) {
            listener.received(rest);
        }
        if (listener == null) {
            return;
        }
        HttpResponseListener current = detachListener();
        hasUnexpectedBytes = decoder.hasUndecodedBytes();
        boolean isClean = !staleResponseSeen && !hasUnexpectedBytes;
        whenFinished.accept(keepAlive && isClean && context.channel().isActive());
        current.ended();
    }
}
