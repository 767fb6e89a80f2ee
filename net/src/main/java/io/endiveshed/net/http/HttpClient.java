package io.endiveshed.net.http;

import io.endiveshed.net.http.internal.BytesArrivedHandler;
import io.endiveshed.net.http.internal.ClientConnection;
import io.endiveshed.net.http.internal.InputEndHandler;
import io.endiveshed.net.http.internal.ResponseDecoder;
import io.endiveshed.protocol.Header;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Consumer;

/**
 * HTTP client for one address that reuses connections. Safe for use by several threads.
 *
 * <pre>{@code
 * HttpClient client = new HttpClient(loops, address);
 * HttpExchange exchange = client.send("GET", "/load", List.of(), new byte[0], listener);
 * }</pre>
 */
public final class HttpClient implements TargetClient {
    /** Maximum length in bytes of one read of a socket. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    /**
     * Maximum number of reads of one connection before the event loop serves the others. A server that sends without end
     * in tiny chunks otherwise takes the loop for tens of milliseconds at a time.
     */
    private static final int MAX_READS_IN_A_ROW = 4;

    /**
     * Size in bytes of the send buffer of a connection. What the buffer holds counts as written, although the server may
     * never read it, so the size bounds how much of a request can be unread when its response without a length ends.
     */
    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final HttpClientOptions options;
    private final ConcurrentLinkedDeque<ClientConnection> idleConnections = new ConcurrentLinkedDeque<>();
    private volatile boolean stopped;

    /** Creates a client whose connections run on the given event loops. */
    public HttpClient(EventLoopGroup loops, InetSocketAddress address) {
        this(loops, address, HttpClientOptions.defaults());
    }

    /** Creates a client with options for its connections. */
    public HttpClient(EventLoopGroup loops, InetSocketAddress address, HttpClientOptions options) {
        this(loops, address, options, discarded -> {});
    }

    /**
     * Creates a client with options for its connections.
     *
     * @param loops event loops of the connections
     * @param address address of the server
     * @param options options of the connections
     * @param whenDiscarded called on a connection's event loop with each response that belongs to no request
     */
    public HttpClient(
            EventLoopGroup loops,
            InetSocketAddress address,
            HttpClientOptions options,
            Consumer<DiscardedResponse> whenDiscarded) {
        this.address = address;
        this.options = options;
        this.bootstrap = new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                // Reports the end of input, which Netty does not tell from other closes of a connection otherwise.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(64, 2 * 1024, MAX_READ_BYTES)
                                .maxMessagesPerRead(MAX_READS_IN_A_ROW))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        options.connectTimeout().toMillis())
                .remoteAddress(address)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ResponseDecoder decoder = new ResponseDecoder();
                        ClientConnection connection = new ClientConnection(options, decoder, whenDiscarded);
                        channel.pipeline()
                                .addLast(new BytesArrivedHandler(connection::onBytesArrived))
                                .addLast(new InputEndHandler(connection::onInputEnded))
                                .addLast(decoder)
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                });
    }

    /** Sends a request; the listener is notified of the response on the connection's event loop. */
    @Override
    public HttpExchange send(
            String method, String path, List<Header> headers, byte[] body, HttpResponseListener listener) {
        return send(method, path, headers, body, listener, ExchangeOptions.defaults());
    }

    /** Sends a request with options; the listener is notified of the response on the connection's event loop. */
    public HttpExchange send(
            String method,
            String path,
            List<Header> headers,
            byte[] body,
            HttpResponseListener listener,
            ExchangeOptions options) {
        HttpExchange exchange = new HttpExchange(this, listener, options, method, path, host(), headers, body);
        acquire(exchange);
        return exchange;
    }

    /**
     * Opens a connection, which later requests may use, to find out whether a process listens on the address. The stage
     * never completes exceptionally.
     */
    public CompletionStage<Reachability> probe() {
        CompletableFuture<Reachability> result = new CompletableFuture<>();
        bootstrap.connect().addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                release(connected.channel().pipeline().get(ClientConnection.class));
                result.complete(Reachability.ACCEPTING);
            } else {
                result.complete(isRefusal(connected.cause()) ? Reachability.REFUSING : Reachability.UNKNOWN);
            }
        });
        return result;
    }

    /** Returns whether an attempt to connect was refused; the exception of a timeout is of a subclass. */
    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    /** Closes idle connections immediately, and the others after their requests. */
    public void stop() {
        stopped = true;
        for (ClientConnection connection = idleConnections.pollLast();
                connection != null;
                connection = idleConnections.pollLast()) {
            connection.close();
        }
    }

    void acquire(HttpExchange exchange) {
        ClientConnection idle = exchange.needsNewConnection() ? null : pollIdle();
        if (idle != null) {
            exchange.begin(idle);
            return;
        }
        bootstrap.connect().addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                exchange.begin(connected.channel().pipeline().get(ClientConnection.class));
            } else {
                exchange.failToConnect(
                        "cannot connect to " + host() + ": " + connected.cause().getMessage());
            }
        });
    }

    /** Returns an idle connection that can be used; null if there is none. */
    private ClientConnection pollIdle() {
        for (ClientConnection connection = idleConnections.pollLast();
                connection != null;
                connection = idleConnections.pollLast()) {
            if (connection.isUsable()) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    void release(ClientConnection connection) {
        if (stopped || !options.reuse()) {
            connection.close();
            return;
        }
        connection.closeAfterIdle(idleConnections::remove);
        idleConnections.addLast(connection);
    }

    private String host() {
        return address.getHostString() + ":" + address.getPort();
    }
}
