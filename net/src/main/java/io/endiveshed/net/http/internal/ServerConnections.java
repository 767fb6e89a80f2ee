package io.endiveshed.net.http.internal;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;

/** The open connections of one server. */
public final class ServerConnections {
    /** Event that closes a connection if it is idle. */
    static final Object CLOSE_IF_IDLE = new Object();

    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean draining;

    /** Adds a connection until it closes. */
    void add(Channel channel) {
        channels.add(channel);
    }

    /** Tells whether connections close after their next response. */
    boolean isDraining() {
        return draining;
    }

    /** Lets connections close after their next response. */
    public void drain() {
        draining = true;
    }

    /** Closes the connections that neither run nor receive a request. */
    public void closeIdle() {
        channels.forEach(channel -> channel.pipeline().fireUserEventTriggered(CLOSE_IF_IDLE));
    }

    /** Closes all connections, whatever runs on them. */
    public void closeAll() {
        channels.close().syncUninterruptibly();
    }

    /** Returns the number of open connections. */
    public int count() {
        return channels.size();
    }
}
