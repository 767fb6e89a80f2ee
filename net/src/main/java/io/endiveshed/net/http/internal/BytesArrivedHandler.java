package io.endiveshed.net.http.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;

/** Notifies a connection of arriving bytes before the HTTP codec, which buffers or skips what it cannot decode yet. */
public final class BytesArrivedHandler extends ChannelInboundHandlerAdapter {
    private final Consumer<ByteBuf> listener;

    /** Creates a handler, which must precede the codec in the pipeline; the listener may look at each read. */
    public BytesArrivedHandler(Consumer<ByteBuf> listener) {
        this.listener = listener;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        listener.accept((ByteBuf) bytes);
        ctx.fireChannelRead(bytes);
    }
}
