package io.endiveshed.net.http.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Notifies a connection that its peer has closed its side, before the HTTP codec reports what that ends. The codec
 * reports the same when the connection is reset or closed by this process.
 */
public final class InputEndHandler extends ChannelInboundHandlerAdapter {
    private final Runnable listener;

    /** Creates a handler, which must precede the codec in the pipeline of a channel that allows half closure. */
    public InputEndHandler(Runnable listener) {
        this.listener = listener;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            listener.run();
        }
        ctx.fireUserEventTriggered(event);
    }
}
