package io.endiveshed.net.link;

import com.codahale.metrics.MetricRegistry;
import io.endiveshed.net.link.internal.LinkGuard;
import io.endiveshed.net.link.internal.LinkPipeline;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;

/** Server that accepts links from sidecars. */
public final class LinkServer {
    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final LinkListener listener;
    private final LinkGuard guard;
    private Channel channel;

    /** Creates a server that listens after {@link #start} and counts refused and faulty links in the registry. */
    public LinkServer(EventLoopGroup loops, InetSocketAddress address, LinkListener listener, MetricRegistry registry) {
        this.guard = new LinkGuard(registry);
        this.loops = loops;
        this.address = address;
        this.listener = listener;
    }

    /** Binds the address and starts to listen; blocks until the address is bound. */
    public void start() {
        channel = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new LinkPipeline(listener, guard))
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the local port; the operating system chooses it if the address has port 0. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops listening; open links stay open. */
    public void stop() {
        channel.close().syncUninterruptibly();
    }
}
