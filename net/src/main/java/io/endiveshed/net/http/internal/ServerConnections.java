package io.endiveshed.net.http.internal;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;

/** Open connections of one server. Safe for use by several threads. */
public final class ServerConnections {
    /**
     * Pipeline event that closes a connection if it has been idle for a time.
     *
     * @param idle minimum time without a request
     */
    record CloseIfIdle(Duration idle) {}

    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean draining;

    /** Adds a connection, which is removed when it closes. */
    void add(Channel channel) {
        channels.add(channel);
    }

    /** Returns whether connections close after their next response. */
    boolean isDraining() {
        return draining;
    }

    /** Makes connections close after their next response. */
    public void drain() {
        draining = true;
    }

    /** Closes the connections that have neither run nor received a request for the given time. */
    public void closeIdle(Duration idle) {
        CloseIfIdle event = new CloseIfIdle(idle);
        channels.forEach(channel -> channel.pipeline().fireUserEventTriggered(event));
    }

    /** Closes all connections and aborts their requests. */
    public void closeAll() {
        channels.close().syncUninterruptibly();
    }

    /** Returns the number of open connections. */
    public int count() {
        return channels.size();
    }
}
