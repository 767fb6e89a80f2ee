package io.endiveshed.net.link.internal;

import io.endiveshed.net.link.LinkListener;
import io.endiveshed.protocol.ProtocolLimits;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;

/** Initializes the channel pipeline of a link. */
public final class LinkPipeline extends ChannelInitializer<Channel> {
    /**
     * Time without a frame after which a link is closed as broken, in seconds. A sidecar sends a frame every 500 ms and
     * a ping every 3 s.
     */
    public static final int READ_TIMEOUT_SECONDS = 10;

    private static final int LENGTH_FIELD_BYTES = 4;

    private final LinkListener listener;
    private final LinkGuard guard;

    /** Creates an initializer of links whose events go to the listener. */
    public LinkPipeline(LinkListener listener, LinkGuard guard) {
        this.listener = listener;
        this.guard = guard;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.config().setOption(ChannelOption.TCP_NODELAY, true);
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .addLast(new LengthFieldBasedFrameDecoder(
                        ProtocolLimits.MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                .addLast(new LinkHandler(listener, guard));
    }
}
