package io.endiveshed.net.http;

import io.endiveshed.net.http.internal.ClientConnection;
import io.endiveshed.protocol.Header;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * HTTP client for one address, with connections kept open between calls.
 *
 * <pre>{@code
 * HttpClient client = new HttpClient(loops, address);
 * HttpExchange exchange = client.send("GET", "/load", List.of(), new byte[0], listener);
 * }</pre>
 */
public final class HttpClient implements TargetClient {
    /** Time to open a connection, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final SimpleChannelPool pool;
    private final InetSocketAddress address;

    /** Makes a client whose connections run on the given event loops. */
    public HttpClient(EventLoopGroup loops, InetSocketAddress address) {
        this.address = address;
        Bootstrap bootstrap = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .remoteAddress(address);
        this.pool = new SimpleChannelPool(bootstrap, new AbstractChannelPoolHandler() {
            @Override
            public void channelCreated(Channel channel) {
                channel.pipeline().addLast(new HttpClientCodec()).addLast(new ClientConnection());
            }
        });
    }

    /** Sends a request; the listener hears of the response on the connection's event loop. */
    @Override
    public HttpExchange send(
            String method, String path, List<Header> headers, byte[] body, HttpResponseListener listener) {
        HttpExchange exchange = new HttpExchange(pool, listener);
        Future<Channel> acquired = pool.acquire();
        acquired.addListener(future -> {
            if (future.isSuccess()) {
                exchange.begin(acquired.getNow(), method, path, host(), headers, body);
            } else {
                listener.failed(
                        false,
                        "cannot connect to " + host() + ": " + future.cause().getMessage());
            }
        });
        return exchange;
    }

    /** Closes idle connections. */
    public void stop() {
        pool.close();
    }

    private String host() {
        return address.getHostString() + ":" + address.getPort();
    }
}
