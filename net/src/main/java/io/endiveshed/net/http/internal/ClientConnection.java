package io.endiveshed.net.http.internal;

import io.endiveshed.net.http.HttpResponseListener;
import io.endiveshed.protocol.Header;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;

/** Hands the response on one connection to the listener of the call that uses it. */
public final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    private HttpResponseListener listener;
    private Runnable whenFinished;
    private boolean keepAlive;

    /** Starts a call; must run on the event loop. */
    public void begin(HttpResponseListener newListener, Runnable finished) {
        listener = newListener;
        whenFinished = finished;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (listener == null) {
            ctx.close();
            return;
        }
        if (part.decoderResult().isFailure()) {
            ctx.close();
            return;
        }
        if (part instanceof HttpResponse response) {
            keepAlive = HttpUtil.isKeepAlive(response);
            listener.started(response.status().code(), headers(response));
        }
        if (part instanceof HttpContent content && content.content().isReadable()) {
            listener.received(ByteBufUtil.getBytes(content.content()));
        }
        if (part instanceof LastHttpContent) {
            finish(ctx);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (listener == null) {
            return;
        }
        HttpResponseListener current = listener;
        listener = null;
        whenFinished.run();
        current.failed(true, "connection closed before the response was whole");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    private void finish(ChannelHandlerContext ctx) {
        HttpResponseListener current = listener;
        listener = null;
        if (!keepAlive) {
            ctx.close();
        }
        whenFinished.run();
        current.ended();
    }

    private static List<Header> headers(HttpResponse response) {
        List<Header> headers = new ArrayList<>();
        response.headers().forEach(entry -> headers.add(new Header(entry.getKey(), entry.getValue())));
        return headers;
    }
}
