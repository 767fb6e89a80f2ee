package io.endiveshed.net.http;

import io.endiveshed.net.http.internal.ClientConnection;
import io.endiveshed.protocol.Header;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Predicate;

/**
 * HTTP client for one address, with connections kept open between calls.
 *
 * <pre>{@code
 * HttpClient client = new HttpClient(loops, address);
 * HttpExchange exchange = client.send("GET", "/load", List.of(), new byte[0], listener);
 * }</pre>
 */
public final class HttpClient implements TargetClient {
    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final ConcurrentLinkedDeque<ClientConnection> idle = new ConcurrentLinkedDeque<>();
    private volatile boolean stopped;

    /** Makes a client whose connections run on the given event loops. */
    public HttpClient(EventLoopGroup loops, InetSocketAddress address) {
        this(loops, address, HttpClientOptions.defaults());
    }

    /** Makes a client with options for its connections. */
    public HttpClient(EventLoopGroup loops, InetSocketAddress address, HttpClientOptions options) {
        this.address = address;
        this.bootstrap = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        options.connectTimeout().toMillis())
                .remoteAddress(address)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec()).addLast(new ClientConnection(options));
                    }
                });
    }

    /** Sends a request; the listener hears of the response on the connection's event loop. */
    @Override
    public HttpExchange send(
            String method, String path, List<Header> headers, byte[] body, HttpResponseListener listener) {
        return send(method, path, headers, body, listener, answer -> true);
    }

    /**
     * Sends a request and takes only a response whose header fields the predicate accepts. A response that it does not
     * accept belongs to an earlier request of the connection; it is skipped.
     */
    public HttpExchange send(
            String method,
            String path,
            List<Header> headers,
            byte[] body,
            HttpResponseListener listener,
            Predicate<List<Header>> isOwn) {
        HttpExchange exchange = new HttpExchange(this, listener, isOwn, method, path, host(), headers, body);
        acquire(exchange);
        return exchange;
    }

    /** Closes idle connections, and used ones after their calls. */
    public void stop() {
        stopped = true;
        for (ClientConnection connection = idle.pollLast(); connection != null; connection = idle.pollLast()) {
            connection.close();
        }
    }

    void acquire(HttpExchange exchange) {
        for (ClientConnection connection = idle.pollLast(); connection != null; connection = idle.pollLast()) {
            if (connection.isUsable()) {
                exchange.begin(connection);
                return;
            }
            connection.close();
        }
        bootstrap.connect().addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                exchange.begin(connected.channel().pipeline().get(ClientConnection.class));
            } else {
                exchange.cannotConnect(
                        "cannot connect to " + host() + ": " + connected.cause().getMessage());
            }
        });
    }

    void release(ClientConnection connection) {
        if (stopped) {
            connection.close();
            return;
        }
        connection.closeAfterIdle(idle::remove);
        idle.addLast(connection);
    }

    private String host() {
        return address.getHostString() + ":" + address.getPort();
    }
}
