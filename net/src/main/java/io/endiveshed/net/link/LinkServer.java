package io.endiveshed.net.link;

import io.endiveshed.net.link.internal.LinkPipeline;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;

/** Listens for links from sidecars. */
public final class LinkServer {
    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final LinkListener listener;
    private Channel channel;

    /** Makes a server that listens once started. */
    public LinkServer(EventLoopGroup loops, InetSocketAddress address, LinkListener listener) {
        this.loops = loops;
        this.address = address;
        this.listener = listener;
    }

    /** Starts to listen. */
    public void start() {
        channel = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childHandler(new LinkPipeline(listener))
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the port, which the system chose if the address named port 0. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops listening; open links stay open. */
    public void stop() {
        channel.close().syncUninterruptibly();
    }
}
