package io.endiveshed.net.http.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells a connection that bytes have arrived, before the HTTP codec collects them. */
public final class ArrivalNotice extends ChannelInboundHandlerAdapter {
    private final ServerConnection connection;

    /** Makes a handler that must stand before the codec. */
    public ArrivalNotice(ServerConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        connection.bytesArrived();
        ctx.fireChannelRead(bytes);
    }
}
