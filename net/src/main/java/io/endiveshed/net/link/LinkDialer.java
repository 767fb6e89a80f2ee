package io.endiveshed.net.link;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.net.link.internal.LinkGuard;
import io.endiveshed.net.link.internal.LinkPipeline;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** Opens links to entry daemons over TCP. */
public final class LinkDialer implements Dialer {
    /** Maximum time to open a connection, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final EventLoopGroup loops;
    private final LinkGuard guard = new LinkGuard(new MetricRegistry());

    /** Creates a dialer whose links run on the given event loops. */
    public LinkDialer(EventLoopGroup loops) {
        this.loops = loops;
    }

    @Override
    public void dial(InetSocketAddress address, LinkListener listener, Runnable whenFailed) {
        new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new LinkPipeline(listener, guard))
                .connect(address)
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        whenFailed.run();
                    }
                });
    }
}
