package io.endiveshed.net.http.internal;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;

/** The open connections of one server. */
public final class ServerConnections {
    /**
     * Event that closes a connection if it has been idle.
     *
     * @param idle time without a request
     */
    record CloseIfIdle(Duration idle) {}

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

    /** Closes the connections that for the given time have neither run nor received a request. */
    public void closeIdle(Duration idle) {
        CloseIfIdle event = new CloseIfIdle(idle);
        channels.forEach(channel -> channel.pipeline().fireUserEventTriggered(event));
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
