package io.endiveshed.net.http.internal;

import io.endiveshed.net.http.HttpClientOptions;
import io.endiveshed.net.http.HttpResponseListener;
import io.endiveshed.protocol.Header;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Hands the response on one connection to the listener of the call that uses it. */
public final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final String KEEP_ALIVE_FIELD = "Keep-Alive";
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");
    private static final int FIRST_FINAL_STATUS = 200;

    private final HttpClientOptions options;
    private ChannelHandlerContext context;
    private HttpResponseListener listener;
    private Predicate<List<Header>> isOwn;
    private Consumer<Boolean> whenFinished;
    private boolean keepAlive;
    private boolean skipping;
    private boolean strayAnswerSeen;
    private long idleMillis;
    private long idleSinceNanos;
    private ScheduledFuture<?> idleTimeout;

    /** Makes the handler of one connection. */
    public ClientConnection(HttpClientOptions options) {
        this.options = options;
        this.idleMillis = options.maxIdle().toMillis();
        this.idleSinceNanos = System.nanoTime();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Runs a task on the connection's event loop, at once if this is it. */
    public void execute(Runnable task) {
        if (context.executor().inEventLoop()) {
            task.run();
        } else {
            context.executor().execute(task);
        }
    }

    /** Tells whether a call may use the connection: it is open, unused and not close to the server's idle limit. */
    public boolean isUsable() {
        return context.channel().isActive()
                && listener == null
                && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSinceNanos) < idleMillis;
    }

    /** Starts a call; must run on the event loop. */
    public void begin(HttpResponseListener newListener, Predicate<List<Header>> filter, Consumer<Boolean> finished) {
        if (idleTimeout != null) {
            idleTimeout.cancel(false);
            idleTimeout = null;
        }
        listener = newListener;
        isOwn = filter;
        whenFinished = finished;
        skipping = false;
        strayAnswerSeen = false;
        keepAlive = false;
    }

    /** Writes the request of the call. */
    public void write(FullHttpRequest request) {
        context.writeAndFlush(request);
    }

    /** Stops or continues to read from the socket. */
    public void readAutomatically(boolean value) {
        context.channel().config().setAutoRead(value);
    }

    /** Closes the connection. */
    public void close() {
        context.close();
    }

    /** Closes the connection when it has been unused for its limit, and tells the pool. */
    public void closeAfterIdle(Consumer<ClientConnection> whenClosed) {
        idleSinceNanos = System.nanoTime();
        execute(() -> idleTimeout = context.executor()
                .schedule(
                        () -> {
                            if (listener == null) {
                                whenClosed.accept(this);
                                context.close();
                            }
                        },
                        idleMillis,
                        TimeUnit.MILLISECONDS));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (listener == null || part.decoderResult().isFailure()) {
            ctx.close();
            return;
        }
        if (part instanceof HttpResponse response && !accept(response)) {
            return;
        }
        if (skipping) {
            skipping = !(part instanceof LastHttpContent);
            return;
        }
        if (part instanceof HttpContent content && content.content().isReadable()) {
            listener.received(ByteBufUtil.getBytes(content.content()));
        }
        if (part instanceof LastHttpContent && listener != null) {
            finish();
        }
    }

    /** Takes the head of a response; returns false if its parts are to be skipped. */
    private boolean accept(HttpResponse response) {
        List<Header> headers = headers(response);
        if (response.status().code() < FIRST_FINAL_STATUS) {
            skipping = true;
            return false;
        }
        if (!isOwn.test(headers)) {
            skipping = true;
            strayAnswerSeen = true;
            return false;
        }
        boolean framed = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
        keepAlive = HttpUtil.isKeepAlive(response) && framed;
        noteIdleLimit(response.headers().get(KEEP_ALIVE_FIELD));
        listener.started(response.status().code(), headers);
        return true;
    }

    private void noteIdleLimit(String keepAliveHeader) {
        if (keepAliveHeader == null) {
            return;
        }
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAliveHeader);
        if (matcher.find()) {
            long announced = TimeUnit.SECONDS.toMillis(Long.parseLong(matcher.group(1)));
            long usable = announced - options.keepAliveMargin().toMillis();
            idleMillis = Math.max(0, Math.min(options.maxIdle().toMillis(), usable));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("connection closed before the response was whole");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // The codec takes the end of a connection for the end of a response without length; a reset is no end.
        fail("connection broke: " + cause.getMessage());
        ctx.close();
    }

    private void fail(String message) {
        if (listener == null) {
            return;
        }
        HttpResponseListener current = listener;
        listener = null;
        whenFinished.accept(false);
        current.failed(true, message);
    }

    private void finish() {
        HttpResponseListener current = listener;
        listener = null;
        whenFinished.accept(keepAlive && !strayAnswerSeen && context.channel().isActive());
        current.ended();
    }

    private static List<Header> headers(HttpResponse response) {
        List<Header> headers = new ArrayList<>();
        response.headers().forEach(entry -> headers.add(new Header(entry.getKey(), entry.getValue())));
        return headers;
    }
}
